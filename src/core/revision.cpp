/** @file revision.cpp Text of positions and revisions in logs and errors. */
#include "core/revision_type.h"

#include "core/text_func.h"

namespace lavender {

std::string formatPosition(const StorePosition& position)
{
    return position.era == 0 ? concat(position.number) : concat(position.era, ":", position.number);
}

std::string formatRevision(const Revision& revision)
{
    const std::string position = formatPosition(revision.position);
    return revision.version == 0 ? position : concat(revision.version, "/", position);
}

} // namespace lavender
