#include <celeryroute/detail/node/peerchangelogger.h>

namespace celeryroute {

PeerRoster::ChangeCallback peerChangeLogger(NodeCore &core, std::string_view role)
{
    return [&core, role](const PeerRoster::Change &change) {
        core.log.write(change.lost ? DecisionEvent::PeerLost : DecisionEvent::PeerRegained,
                       core.loop.now(),
                       {{"peer", change.address},
                        {"peer_role", role},
                        {"peer_inc", change.incarnation},
                        {change.lost ? "silent_ms" : "lost_ms", change.silent}});
    };
}

} // namespace celeryroute
