/** @file flow.cpp Requests of one flow, and the ids of its finished ones. */
#include "agent/flow_base.h"

#include <algorithm>
#include <iterator>

namespace lavender {

bool FinishedRequests::contains(uint64_t id) const
{
    return id <= this->watermark || std::binary_search(this->aboveWatermark.begin(), this->aboveWatermark.end(), id);
}

void FinishedRequests::add(uint64_t id)
{
    if (this->contains(id)) {
        return;
    }
    this->aboveWatermark.insert(std::lower_bound(this->aboveWatermark.begin(), this->aboveWatermark.end(), id), id);
    while (!this->aboveWatermark.empty() && this->aboveWatermark.front() == this->watermark + 1) {
        ++this->watermark;
        this->aboveWatermark.erase(this->aboveWatermark.begin());
    }
}

void FinishedRequests::raiseWatermark(size_t maximumAbove)
{
    if (this->aboveWatermark.size() <= maximumAbove) {
        return;
    }
    const auto firstKept = this->aboveWatermark.end() - static_cast<std::ptrdiff_t>(maximumAbove);
    this->watermark = *std::prev(firstKept);
    this->aboveWatermark.erase(this->aboveWatermark.begin(), firstKept);
}

Request* Flow::find(uint64_t id)
{
    const auto found = std::find_if(this->requests.begin(), this->requests.end(), [id](const Request& request) {
        return request.id == id;
    });
    return found == this->requests.end() ? nullptr : &*found;
}

} // namespace lavender
