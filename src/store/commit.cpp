/** @file commit.cpp One compare-and-swap with a change id; an unanswered write is resolved by reading. */
#include "store/commit.h"

#include "core/text_func.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr int readTries = 8;
    constexpr Duration readRetry = 500ms;

    struct Commit : std::enable_shared_from_this<Commit> {
        Store& store;
        RuleCommand command;
        std::string change;
        bool isDryRun;
        Delay delay;
        std::function<void(CommitResult)> done;
        CommitResult result {};
        Revision expected = 0;
        int tries = 0;

        Commit(Store& target, RuleCommand order, std::string id, bool isDry, Delay wait, std::function<void(CommitResult)> finished)
            : store(target)
            , command(std::move(order))
            , change(std::move(id))
            , isDryRun(isDry)
            , delay(std::move(wait))
            , done(std::move(finished))
        {
        }

        void finish(CommitOutcome outcome, std::string detail)
        {
            this->result.outcome = outcome;
            this->result.detail = std::move(detail);
            this->done(this->result);
        }

        void begin()
        {
            this->store.read(rulesKey, [self = this->shared_from_this()](const absl::StatusOr<std::optional<StoreValue>>& value) {
                if (!value.ok()) {
                    self->finish(CommitOutcome::Unavailable, std::string(value.status().message()));
                    return;
                }
                self->write(*value);
            });
        }

        void write(const std::optional<StoreValue>& current)
        {
            RulesEnvelope before;
            if (current) {
                this->expected = current->revision;
                const absl::StatusOr<RulesEnvelope> envelope = parseEnvelope(current->value);
                before = envelope.ok() ? *envelope : RulesEnvelope();
            }
            const absl::StatusOr<RuleOutcome> outcome = testCommand(before.rules, this->command);
            if (!outcome.ok()) {
                this->finish(CommitOutcome::Refused, std::string(outcome.status().message()));
                return;
            }
            this->result.warnings = outcome->warnings;
            this->result.revision = this->expected;
            if (current && outcome->text == before.rules) {
                this->finish(CommitOutcome::Unchanged, "the store has these rules already");
                return;
            }
            if (this->isDryRun) {
                this->finish(CommitOutcome::Committed, "dry run: nothing was written");
                return;
            }
            RulesEnvelope after { this->change, this->command.who, outcome->text, std::move(before.previous) };
            if (!before.change.empty()) {
                after.previous.insert(after.previous.begin(), before.change);
                after.previous.resize(std::min(after.previous.size(), rememberedChanges));
            }
            const std::string value = formatEnvelope(after);
            this->store.compareAndSwap(rulesKey, this->expected, value, [self = this->shared_from_this()](const absl::StatusOr<SwapResult>& swap) {
                if (swap.ok() && swap->isWritten) {
                    self->result.revision = swap->revision;
                    self->finish(CommitOutcome::Committed, "");
                    return;
                }
                self->resolve();
            });
        }

        /** Reads who won, or whether the unanswered write took effect. */
        void resolve()
        {
            this->store.read(rulesKey, [self = this->shared_from_this()](const absl::StatusOr<std::optional<StoreValue>>& value) {
                if (value.ok()) {
                    self->judge(*value);
                } else if (++self->tries < readTries) {
                    self->delay(readRetry * self->tries, [self] { self->resolve(); });
                } else {
                    self->finish(CommitOutcome::Unknown, "the store stopped answering: run \"lavenderctl show\" once it is back");
                }
            });
        }

        void judge(const std::optional<StoreValue>& value)
        {
            const absl::StatusOr<RulesEnvelope> now = value ? parseEnvelope(value->value) : RulesEnvelope();
            const bool isOurs = now.ok() && now->change == this->change;
            const bool isBelow = now.ok() && std::find(now->previous.begin(), now->previous.end(), this->change) != now->previous.end();
            if (isOurs || isBelow) {
                this->result.revision = value->revision;
                this->finish(CommitOutcome::Committed, isOurs ? "" : concat("change ", now->change, " of ", now->who, " followed already"));
            } else if (value && value->revision != this->expected) {
                // The key has another revision and our change is none of those below it: our write can no longer succeed.
                const std::string other = now.ok() ? concat("change ", now->change, " of ", now->who) : "a change of unknown form";
                this->result.revision = value->revision;
                this->finish(CommitOutcome::Raced, concat(other, " came first, revision ", value->revision));
            } else if (++this->tries < readTries) {
                // The write may still be on its way; only time tells that it was lost.
                this->delay(readRetry, [self = this->shared_from_this()] { self->resolve(); });
            } else {
                this->finish(CommitOutcome::Unknown, "the store did not answer the write and does not have it so far");
            }
        }
    };

} // namespace

void commitCommand(Store& store, const RuleCommand& command, const std::string& change, bool isDryRun, Delay delay, std::function<void(CommitResult)> done)
{
    std::make_shared<Commit>(store, command, change, isDryRun, std::move(delay), std::move(done))->begin();
}

} // namespace lavender
