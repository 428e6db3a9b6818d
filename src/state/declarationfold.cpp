#include <celeryroute/detail/config/joinvalidation.h>
#include <celeryroute/detail/config/specvalidation.h>
#include <celeryroute/detail/state/recordfolds.h>
#include <celeryroute/detail/state/specconversion.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace celeryroute {

namespace {
// Applies the changes of one record to a copy of the tables, which replaces the original if no change is
// refused. A later change may depend on an earlier one, so references between items are checked last.
class DeclarationFolder
{
public:
    DeclarationFolder(StateTables tables, Revision revision)
        : m_tables(std::move(tables))
        , m_revision(revision)
    {}

    void apply(std::size_t item, const proto::ItemChange &change)
    {
        m_item = item;
        switch (change.item_case()) {
        case proto::ItemChange::kRoute:
            put("route", m_tables.routes, fromProto(change.route()), change.base_revision());
            m_changedRoutes[change.route().name()] = item;
            break;
        case proto::ItemChange::kPool:
            put("pool", m_tables.pools, fromProto(change.pool()), change.base_revision());
            m_changedPools[change.pool().name()] = item;
            break;
        case proto::ItemChange::kCustomer:
            put("customer", m_tables.customers, fromProto(change.customer()), change.base_revision());
            break;
        case proto::ItemChange::kRemoveRoute:
            remove("route", m_tables.routes, change.remove_route(), change.base_revision());
            break;
        case proto::ItemChange::kRemovePool:
            remove("pool", m_tables.pools, change.remove_pool(), change.base_revision());
            m_changedPools[change.remove_pool()] = item;
            break;
        case proto::ItemChange::kRemoveCustomer:
            remove("customer", m_tables.customers, change.remove_customer(), change.base_revision());
            m_removedCustomers[change.remove_customer()] = item;
            break;
        case proto::ItemChange::ITEM_NOT_SET:
            refuse("change", {ResultCode::RecordMalformed, "the change names no item"}, 0);
            break;
        }
    }

    void checkJoins()
    {
        for (const auto &[name, route] : *m_tables.routes) {
            checkRoute(route.value);
        }
        for (const auto &[name, item] : m_removedCustomers) {
            checkKeysOf(name, item);
        }
        checkPaths();
    }

    const Refusals &refusals() const
    {
        return m_refusals;
    }
    StateTables takeTables()
    {
        return std::move(m_tables);
    }

private:
    void refuse(std::string subject, Error error, Revision current)
    {
        m_refusals.push_back({m_item, std::move(subject), std::move(error), current});
    }

    template <typename Table>
    bool baseMatches(const std::string &subject, const Table &table, const std::string &name, Revision base)
    {
        const auto found = table.find(name);
        const Revision current = found == table.end() ? 0 : found->second.revision;
        if (current == base) {
            return true;
        }
        const std::string text = current == 0
            ? absl::StrCat(subject, " does not exist any more; the change was made from revision ", base)
            : absl::StrCat(subject, " is at revision ", current, "; the change was made from revision ", base);
        refuse(subject, {ResultCode::DeclarationConflict, text}, current);
        return false;
    }

    template <typename Spec>
    void
    put(const std::string &kind, CopyOnWrite<std::map<std::string, Versioned<Spec>>> &table, Spec spec, Revision base)
    {
        const std::string subject = absl::StrCat(kind, " ", spec.name);
        for (DeclarationProblem &problem : validate(spec)) {
            refuse(subject, std::move(problem.error), 0);
        }
        if (baseMatches(subject, *table, spec.name, base)) {
            const std::string name = spec.name;
            table.edit()[name] = {std::move(spec), m_revision};
        }
    }

    template <typename Spec>
    void remove(const std::string &kind,
                CopyOnWrite<std::map<std::string, Versioned<Spec>>> &table,
                const std::string &name,
                Revision base)
    {
        const std::string subject = absl::StrCat(kind, " ", name);
        if (table->count(name) == 0) {
            refuse(subject, {ResultCode::DeclarationConflict, absl::StrCat(subject, " does not exist")}, 0);
        } else if (baseMatches(subject, *table, name, base)) {
            table.edit().erase(name);
        }
    }

    // Returns the index of the change that caused an invalid reference of @p route.
    std::optional<std::size_t> changeBehind(const RouteSpec &route) const
    {
        const auto changedRoute = m_changedRoutes.find(route.name);
        if (changedRoute != m_changedRoutes.end()) {
            return changedRoute->second;
        }
        const auto changedPool = m_changedPools.find(route.pool);
        if (changedPool != m_changedPools.end()) {
            return changedPool->second;
        }
        for (const std::string &customer : route.customers) {
            const auto removed = m_removedCustomers.find(customer);
            if (removed != m_removedCustomers.end()) {
                return removed->second;
            }
        }
        return std::nullopt;
    }

    void checkRoute(const RouteSpec &route)
    {
        const std::optional<std::size_t> change = changeBehind(route);
        if (!change) {
            return;
        }
        m_item = *change;
        for (DeclarationProblem &problem : validateJoins(route, lookup())) {
            refuse(absl::StrCat("route ", route.name),
                   std::move(problem.error),
                   m_tables.routes->at(route.name).revision);
        }
    }

    JoinLookup lookup() const
    {
        JoinLookup lookup;
        lookup.pool = [this](const std::string &name) {
            const auto found = m_tables.pools->find(name);
            return found == m_tables.pools->end() ? nullptr : &found->second.value;
        };
        lookup.hasCustomer = [this](const std::string &name) { return m_tables.customers->count(name) != 0; };
        return lookup;
    }

    // A key must not outlive its customer because a later customer with the same name would inherit it.
    void checkKeysOf(const std::string &customer, std::size_t item)
    {
        if (m_tables.customers->count(customer) != 0) {
            return;
        }
        std::size_t active = 0;
        m_tables.keys.forEach([&](const std::string &, const Versioned<KeyEntry> &key) {
            active += key.value.customer == customer && !key.value.withdrawn ? 1 : 0;
        });
        if (active != 0) {
            m_item = item;
            const std::string text = absl::StrCat("customer ",
                                                  customer,
                                                  " still has ",
                                                  active,
                                                  " keys; withdraw them first");
            refuse(absl::StrCat("customer ", customer), {ResultCode::DeclarationInvalidValue, text}, 0);
        }
    }

    void checkPaths()
    {
        std::map<std::string, std::string> ownerOfPath;
        for (const auto &[name, route] : *m_tables.routes) {
            const std::string &path = route.value.path;
            if (path.empty()) {
                continue;
            }
            const auto [owner, added] = ownerOfPath.emplace(path, name);
            if (!added) {
                const std::string text =
                    absl::StrCat("routes ", owner->second, " and ", name, " have the same path ", path);
                refuse(absl::StrCat("route ", name), {ResultCode::DeclarationDuplicate, text}, route.revision);
            }
        }
    }

    StateTables m_tables;
    Revision m_revision;
    Refusals m_refusals;
    std::size_t m_item = 0;
    std::map<std::string, std::size_t> m_changedRoutes;
    std::map<std::string, std::size_t> m_changedPools;
    std::map<std::string, std::size_t> m_removedCustomers;
};
} // namespace

Refusals foldDeclarationChange(StateTables &tables, const proto::DeclarationChange &change, Revision revision)
{
    if (change.changes_size() == 0) {
        return {{0, "change", {ResultCode::RecordMalformed, "the record changes nothing"}, 0}};
    }
    DeclarationFolder folder(tables, revision);
    for (int i = 0; i < change.changes_size(); ++i) {
        folder.apply(static_cast<std::size_t>(i), change.changes(i));
    }
    if (folder.refusals().empty()) {
        folder.checkJoins();
    }
    if (folder.refusals().empty()) {
        tables = folder.takeTables();
    }
    return folder.refusals();
}

} // namespace celeryroute
