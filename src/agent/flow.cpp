/** @file flow.cpp Bookkeeping of one flow's requests. */
#include "agent/flow_base.h"

#include <algorithm>

namespace lavender {

bool FinishedRequests::contains(uint64_t id) const
{
    return id <= this->through || std::binary_search(this->beyond.begin(), this->beyond.end(), id);
}

void FinishedRequests::add(uint64_t id)
{
    if (this->contains(id)) {
        return;
    }
    this->beyond.insert(std::lower_bound(this->beyond.begin(), this->beyond.end(), id), id);
    while (!this->beyond.empty() && this->beyond.front() == this->through + 1) {
        ++this->through;
        this->beyond.erase(this->beyond.begin());
    }
}

void FinishedRequests::collapse()
{
    if (!this->beyond.empty()) {
        this->through = this->beyond.back();
        this->beyond.clear();
    }
}

Request* Flow::find(uint64_t id)
{
    const auto found = std::find_if(this->requests.begin(), this->requests.end(), [id](const Request& request) { return request.id == id; });
    return found == this->requests.end() ? nullptr : &*found;
}

} // namespace lavender
