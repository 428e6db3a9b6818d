#pragma once

#include <celeryroute/detail/gateway/resumption.h>
#include <celeryroute/detail/gateway/streamreport.h>
#include <celeryroute/detail/placement/poolversions.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// @brief Digest that names a stream by its customer and the id of the request that brought its first event.
std::uint64_t streamDigest(std::string_view customer, std::string_view requestId);

/// Software versions that began the streams of this entry and of others, for callers that take a stream up again.
class StreamOrigins
{
public:
    /// Time for which a stream may be taken up, since a target last began to send events of it.
    static constexpr Duration Retention = std::chrono::minutes(10);
    static constexpr std::size_t MaxStreams = 65'536;
    static constexpr std::size_t StreamsPerReport = 256;

    /// @brief Records that a target of @p origin began to send events of @p stream to a caller of this entry.
    void note(std::uint64_t stream, const StreamOrigin &origin, TimePoint now);
    /// @brief Decides where a stream that began in one of @p pools may go on.
    /// @param stream digest of the stream, if its caller named it
    /// @param pool pool that serves the stream if its origin is unknown
    /// @param earlier versions that may have served before @p versions was complete; nullopt if that is not known
    Resumption resume(std::optional<std::uint64_t> stream,
                      const std::vector<std::string> &pools,
                      const std::string &pool,
                      const PoolVersions &versions,
                      const std::optional<std::vector<std::string>> &earlier,
                      TimePoint now) const;

    /// @brief What other entries should be told now; nothing while one software version serves in each pool.
    StreamReport takeReport(const PoolVersions &versions, TimePoint now);
    /// @brief Takes over what another entry told.
    /// @param incarnation of the sender
    void
    receive(const StreamReport &report, const std::string &sender, std::uint64_t incarnation, PoolVersions &versions);

    std::size_t size() const
    {
        return m_streams.size();
    }

private:
    struct Stream {
        std::optional<std::uint32_t> origin; ///< Index; unset if several versions began streams of this name.
        TimePoint noted;
        std::uint32_t transmissions = 0;
    };

    std::optional<std::uint32_t> originIndex(const StreamOrigin &origin);
    void removeUnusedOrigins();
    void add(std::uint64_t stream, const StreamOrigin &origin, TimePoint noted);
    void announce(std::uint64_t stream);
    void announceNewest();
    void expire(TimePoint now);

    std::unordered_map<std::uint64_t, Stream> m_streams;
    std::deque<std::pair<TimePoint, std::uint64_t>> m_byAge; ///< Also has streams that were noted again since.
    std::deque<std::uint64_t> m_untold; ///< Streams that are to be told to other entries.
    std::vector<StreamOrigin> m_origins;
    std::map<std::string, std::uint64_t> m_incarnations; ///< Of other entries, by address.
    std::optional<TimePoint> m_versionsTold;
};

} // namespace celeryroute
