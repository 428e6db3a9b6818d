#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/state/newrecord.h>

namespace celeryroute {

namespace {
// Increased only for a change that an older program version would misinterpret.
constexpr std::uint32_t WrittenFormat = 1;
} // namespace

proto::LogRecord newRecord(const std::string &author, WallTime now)
{
    proto::LogRecord record;
    record.set_id(randomId());
    record.set_format(WrittenFormat);
    record.set_author(author);
    record.set_wall_time_ms(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    return record;
}

} // namespace celeryroute
