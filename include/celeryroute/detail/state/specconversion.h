#pragma once

#include <celeryroute/customerspec.h>
#include <celeryroute/poolspec.h>
#include <celeryroute/routespec.h>

#include <records.pb.h>

namespace celeryroute {

RouteSpec fromProto(const proto::Route &route);
PoolSpec fromProto(const proto::Pool &pool);
CustomerSpec fromProto(const proto::Customer &customer);
/// @brief Maps unknown values to Urgency::Standard.
Urgency fromProto(proto::Urgency urgency);

proto::Route toProto(const RouteSpec &route);
proto::Pool toProto(const PoolSpec &pool);
proto::Customer toProto(const CustomerSpec &customer);
proto::Urgency toProto(Urgency urgency);

} // namespace celeryroute
