/** @file stored_rules.cpp Orders rules by the operators' version first, since positions are given out again after a restore. */
#include "config/stored_rules.h"

#include <algorithm>

namespace lavender {

/**
 * Within one version only the position tells rules apart, and a restored store may lack the drain of a zone or show one that was lifted. So until
 * restoreSettleTime has passed since the first answer of a new era, rules in force stay. A process without any uses what the store has, in a
 * revision below that of any other process. If a process has already found the era settled, its rules are as of this era.
 */
std::optional<Revision> StoredRulesFilter::revisionOf(TimePoint now, const StoredRules& stored, const Configuration& inForce)
{
    const uint64_t storeEra = std::max(stored.readAt.era, stored.revision.position.era);
    if (this->era && storeEra < *this->era) {
        return std::nullopt;
    }
    if (!this->era || storeEra > *this->era) {
        this->era = storeEra;
        this->eraSeenAt = now;
    }
    const Revision& current = inForce.revision;
    const bool isSettled = storeEra == 0 || current.position.era >= storeEra || now - this->eraSeenAt >= restoreSettleTime;
    if (!isSettled) {
        const bool isReplaceable = !current.isValid() || current.position == provisionalPosition;
        return isReplaceable ? std::optional(Revision { stored.revision.version, provisionalPosition }) : std::nullopt;
    }
    // Removing a key from the store leaves no position behind. So rules that differ from those in force, and were read after those
    // were committed, are newer even if their own revision is not. In the first rules of an era every earlier removal counts, too.
    const bool isKeyRemoved = stored.revision <= current && stored.revision.version == current.version && stored.readAt > current.position
        && stored.text != inForce.text;
    const bool isFirstOfEra = stored.readAt.era > current.position.era;
    return isKeyRemoved || isFirstOfEra ? Revision { stored.revision.version, stored.readAt } : stored.revision;
}

} // namespace lavender
