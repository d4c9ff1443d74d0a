#include "support/harness.h"

#include "support/describe.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace bergamottide::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/*! @brief Shortest time between two ticks of a process, as an event loop takes for a turn. */
constexpr Duration turn{50};
/*! @brief Time after which a broken connection is noticed by its ends. */
constexpr Duration keepalive = seconds{1};
/*! @brief Time from the start of a process to its first document, view and connections. */
constexpr Duration bootTime = milliseconds{20};
/*! @brief Period with which a process reads the instance list and the document anew. */
constexpr Duration renewPeriod = seconds{1};
/*! @brief Time an engine takes to carry out an order. */
constexpr Duration orderTime = milliseconds{200};

template <typename Reducer, typename Event, typename Effects>
Logic<Event, Effects> wrap(std::shared_ptr<Reducer> reducer)
{
    return {[reducer](const Event &event, TimePoint now) { return reducer->apply(event, now); },
            [reducer] { return reducer->nextWakeup(); },
            [reducer] {
                return reducer->inProgress();
            }};
}

} // namespace

LogicFactory realLogic()
{
    LogicFactory factory;
    factory.entry = [](const EntryIdentity &identity) {
        return wrap<EntryReducer, EntryEvent, EntryEffects>(std::make_shared<EntryReducer>(identity));
    };
    factory.side = [](const SidecarIdentity &identity) {
        return wrap<SidecarReducer, SidecarEvent, SidecarEffects>(std::make_shared<SidecarReducer>(identity));
    };
    return factory;
}

Harness::Harness(Fleet fleet, Hooks hooks)
    : m_fleet{std::move(fleet)}
    , m_hooks{std::move(hooks)}
    , m_random{m_fleet.seed}
    , m_reportLag{m_fleet.reportLag}
{
    auto view = std::make_shared<InstanceView>();
    view->revision = 1;
    for (const Member &member : m_fleet.members) {
        view->instances[member.instance.name] = member.instance;
        Process &made = m_processes[member.instance.name];
        made.member = member;
        // No two clocks agree: a point in time that travels between processes shows at once.
        made.skew = seconds{1 + m_random() % 100'000};
        made.viewLag = milliseconds{m_random() % 50};
    }
    m_view = std::move(view);
    for (auto &[name, made] : m_processes) {
        boot(made);
    }
}

Duration Harness::now() const noexcept
{
    return m_now;
}

void Harness::at(Duration time, std::function<void()> action)
{
    m_events.push({std::max(time, m_now), m_order++, std::move(action)});
}

void Harness::run(Duration until)
{
    while (!m_events.empty() && m_events.top().time <= until) {
        // The queue gives no other way to move an element out of it.
        Pending event = std::move(const_cast<Pending &>(m_events.top()));
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = std::max(m_now, until);
}

void Harness::toEntry(const InstanceName &entry, EntryEvent event)
{
    deliver(entry, "caller", event);
}

void Harness::toSide(const InstanceName &side, SidecarEvent event)
{
    deliver(side, "operator", event);
}

void Harness::crash(const InstanceName &name)
{
    Process &gone = process(name);
    if (!gone.up) {
        return;
    }
    trace(name.text() + " crashes");
    gone.up = false;
    ++gone.life;
    gone.resumeAt = Duration{};
    gone.held.clear();
    gone.wake.reset();
    gone.endpointWake.reset();
    static_cast<void>(gone.endpoint.crash(localNow(gone)));
    for (const InstanceName &peer : peersOf(gone)) {
        if (Link &link = m_links[pairOf(name, peer)]; link != Link::Cut) {
            link = Link::Down;
        }
        at(m_now + latency(gone, process(peer)), [this, peer, name] { deliver(peer, "peer down", PeerDown{name}); });
    }
}

void Harness::restart(const InstanceName &name)
{
    Process &made = process(name);
    if (made.up) {
        return;
    }
    trace(name.text() + " restarts");
    boot(made);
}

void Harness::pause(const InstanceName &name, Duration length)
{
    Process &paused = process(name);
    if (!paused.up || paused.resumeAt > m_now) {
        return;
    }
    trace(name.text() + " pauses for " + std::to_string(length.count()) + " us");
    paused.resumeAt = m_now + length;
    at(paused.resumeAt, [this, name] { resume(name); });
}

void Harness::resume(const InstanceName &name)
{
    Process &woken = process(name);
    if (!woken.up || woken.resumeAt > m_now) {
        return;
    }
    auto held = std::exchange(woken.held, {});
    for (const auto &action : held) {
        action();
    }
    const auto life = woken.life;
    at(m_now + renewPeriod, [this, name, life] {
        if (process(name).life == life) {
            renew(process(name));
        }
    });
}

void Harness::cut(const InstanceName &left, const InstanceName &right, Duration length)
{
    const Pair pair = pairOf(left, right);
    trace(left.text() + " and " + right.text() + " are cut off for " + std::to_string(length.count()) + " us");
    m_links[pair] = Link::Cut;
    if (length > keepalive) {
        at(m_now + keepalive, [this, left, right] { linkDown(left, right); });
    }
    at(m_now + length, [this, left, right, pair] {
        m_links[pair] = Link::Down;
        linkUp(left, right);
    });
}

void Harness::silence(const InstanceName &left, const InstanceName &right)
{
    trace("the stream of " + left.text() + " and " + right.text() + " goes silent");
    m_links[pairOf(left, right)] = Link::Silent;
}

void Harness::crashEndpoint(const InstanceName &side)
{
    Process &beside = process(side);
    trace("the endpoint of " + side.text() + " crashes");
    for (const SidecarEvent &event : beside.endpoint.crash(localNow(beside))) {
        deliver(side, "endpoint", event);
    }
}

FakeEndpoint &Harness::endpoint(const InstanceName &side)
{
    return process(side).endpoint;
}

void Harness::wakeEndpoint(const InstanceName &side)
{
    armEndpoint(process(side));
}

void Harness::holdReports(bool hold, Duration lag)
{
    m_reportsHeld = hold;
    m_reportLag = lag;
}

void Harness::announceLeaving(const InstanceName &name)
{
    auto view = std::make_shared<InstanceView>(*m_view);
    ++view->revision;
    view->instances[name].leaving = true;
    m_view = std::move(view);
    trace("the list says that " + name.text() + " leaves");
    for (auto &[other, made] : m_processes) {
        const auto to = other;
        at(m_now + made.viewLag, [this, to, heard = m_view] { deliver(to, "view", ViewChanged{heard}); });
    }
}

void Harness::setViewLag(const InstanceName &name, Duration lag)
{
    process(name).viewLag = lag;
}

void Harness::publish(std::shared_ptr<const Document> document)
{
    m_fleet.document = std::move(document);
    for (auto &[name, made] : m_processes) {
        renew(made);
    }
}

TimePoint Harness::localTime(const InstanceName &name) const
{
    return localNow(m_processes.at(name));
}

bool Harness::knows(const InstanceName &name) const
{
    return m_processes.contains(name);
}

bool Harness::isUp(const InstanceName &name) const
{
    return m_processes.at(name).up;
}

std::size_t Harness::inProgress(const InstanceName &name) const
{
    const Process &asked = m_processes.at(name);
    if (!asked.up) {
        return 0;
    }
    return asked.entry.inProgress ? asked.entry.inProgress() : asked.side.inProgress();
}

std::vector<InstanceName> Harness::names(Role role) const
{
    std::vector<InstanceName> found;
    for (const auto &[name, made] : m_processes) {
        if (made.member.instance.role == role) {
            found.push_back(name);
        }
    }
    return found;
}

std::uint64_t Harness::handled() const noexcept
{
    return m_handled;
}

Harness::Pair Harness::pairOf(const InstanceName &left, const InstanceName &right)
{
    return left < right ? Pair{left, right} : Pair{right, left};
}

Harness::Process &Harness::process(const InstanceName &name)
{
    return m_processes.at(name);
}

TimePoint Harness::localNow(const Process &process) const
{
    return TimePoint{process.skew + m_now};
}

Duration Harness::latency(const Process &from, const Process &to) const
{
    const Instance &left = from.member.instance;
    const Instance &right = to.member.instance;
    if (left.region != right.region) {
        return m_fleet.crossRegionLatency;
    }
    return left.zone == right.zone ? m_fleet.zoneLatency : m_fleet.crossZoneLatency;
}

std::vector<InstanceName> Harness::peersOf(const Process &process) const
{
    return names(process.member.instance.role == Role::Entry ? Role::Sidecar : Role::Entry);
}

void Harness::trace(const std::string &line) const
{
    if (m_hooks.trace) {
        m_hooks.trace(std::to_string(m_now.count()) + " " + line);
    }
}

void Harness::boot(Process &process)
{
    const Instance &instance = process.member.instance;
    const auto name = instance.name;
    const auto incarnation = Incarnation{m_random()};
    process.up = true;
    const auto life = ++process.life;
    if (instance.role == Role::Entry) {
        process.entry = m_fleet.logic.entry({name, instance.region, instance.zone, incarnation, m_random()});
    } else {
        process.side =
            m_fleet.logic.side({name, instance.region, instance.zone, instance.pool, incarnation, m_random()});
        process.endpoint = FakeEndpoint{process.member.law};
        at(m_now + bootTime, [this, name, life] { reportLoad(name, life); });
    }
    at(m_now + bootTime, [this, name, life] { republish(name, life); });
    for (const InstanceName &peer : peersOf(process)) {
        at(m_now + bootTime + turn, [this, name, peer, life] {
            if (this->process(name).life == life && m_links[pairOf(name, peer)] == Link::Down) {
                linkUp(name, peer);
            }
        });
    }
}

void Harness::republish(const InstanceName &name, std::uint64_t life)
{
    Process &reader = process(name);
    if (reader.life != life) {
        return;
    }
    renew(reader);
    at(m_now + renewPeriod, [this, name, life] { republish(name, life); });
}

void Harness::renew(Process &process)
{
    const auto name = process.member.instance.name;
    const auto life = process.life;
    const auto lag = m_now < renewPeriod ? Duration{} : process.viewLag;
    at(m_now + lag, [this, name, life, document = m_fleet.document, view = m_view] {
        if (this->process(name).life != life) {
            return;
        }
        deliver(name, "document", ConfigChanged{document, document->version});
        deliver(name, "view", ViewChanged{view});
    });
}

void Harness::handle(const InstanceName &name, std::string_view what, std::function<void(Process &)> action)
{
    Process &target = process(name);
    if (!target.up) {
        return;
    }
    if (target.resumeAt > m_now) {
        target.held.emplace_back(
            [this, name, text = std::string{what}, action = std::move(action)] { handle(name, text, action); });
        return;
    }
    if (m_hooks.before) {
        m_hooks.before(name, what);
        if (!target.up) {
            return;
        }
        if (target.resumeAt > m_now) {
            target.held.emplace_back(
                [this, name, text = std::string{what}, action = std::move(action)] { handle(name, text, action); });
            return;
        }
    }
    ++m_handled;
    action(target);
    arm(target);
}

template <typename Event>
void Harness::deliver(const InstanceName &name, std::string_view what, const Event &event)
{
    handle(name, what, [this, event](Process &target) {
        if constexpr (std::is_constructible_v<EntryEvent, Event>) {
            if (target.member.instance.role == Role::Entry) {
                applyEntry(target, EntryEvent{event});
            }
        }
        if constexpr (std::is_constructible_v<SidecarEvent, Event>) {
            if (target.member.instance.role == Role::Sidecar) {
                applySide(target, SidecarEvent{event});
            }
        }
    });
}

void Harness::applyEntry(Process &process, const EntryEvent &event)
{
    const auto name = process.member.instance.name;
    for (const EntryEffect &effect : process.entry.apply(event, localNow(process))) {
        if (const auto *message = std::get_if<SendMessage>(&effect)) {
            send(process, *message);
            continue;
        }
        if (const auto *stream = std::get_if<ReopenStream>(&effect)) {
            reopen(process, stream->peer);
            continue;
        }
        if (const auto *observed = std::get_if<Observe>(&effect)) {
            if (m_hooks.observed) {
                m_hooks.observed(name, *observed);
            }
            continue;
        }
        if (const auto *answer = std::get_if<SendAnswer>(&effect)) {
            trace(name.text() + " answers " + std::to_string(answer->request.low) + " "
                  + std::string{enumName(answer->outcome)} + " " + std::string{enumName(answer->reason)});
        }
        if (m_hooks.caller) {
            m_hooks.caller(name, effect);
        }
    }
}

void Harness::applySide(Process &process, const SidecarEvent &event)
{
    for (const SidecarEffect &effect : process.side.apply(event, localNow(process))) {
        if (const auto *message = std::get_if<SendMessage>(&effect)) {
            send(process, *message);
        } else if (const auto *start = std::get_if<StartEndpointRun>(&effect)) {
            startRun(process, *start);
        } else if (const auto *cancel = std::get_if<CancelEndpointRun>(&effect)) {
            cancelRun(process, *cancel);
        } else if (const auto *order = std::get_if<SendOrder>(&effect)) {
            answerOrder(process, *order);
        } else if (const auto *observed = std::get_if<Observe>(&effect); observed && m_hooks.observed) {
            m_hooks.observed(process.member.instance.name, *observed);
        }
    }
}

void Harness::arm(Process &process)
{
    const bool entry = process.member.instance.role == Role::Entry;
    const auto due = entry ? process.entry.nextWakeup() : process.side.nextWakeup();
    if (!due) {
        return;
    }
    const Duration time = std::max(due->time_since_epoch() - process.skew, m_now + turn);
    if (process.wake && *process.wake <= time) {
        return;
    }
    process.wake = time;
    at(time, [this, name = process.member.instance.name, life = process.life] { onWake(name, life); });
}

void Harness::onWake(const InstanceName &name, std::uint64_t life)
{
    Process &woken = process(name);
    if (woken.life != life || woken.wake != m_now) {
        return;
    }
    woken.wake.reset();
    const bool entry = woken.member.instance.role == Role::Entry;
    const auto due = entry ? woken.entry.nextWakeup() : woken.side.nextWakeup();
    if (due && *due <= localNow(woken)) {
        deliver(name, "tick", Tick{});
        return;
    }
    arm(woken);
}

void Harness::send(const Process &from, const SendMessage &message)
{
    const auto name = from.member.instance.name;
    const auto found = m_processes.find(message.to);
    if (found == m_processes.end() || m_links[pairOf(name, message.to)] != Link::Up) {
        return;
    }
    const auto delays = m_hooks.route ? m_hooks.route(name, message.to, message.message) : std::vector{Duration{}};
    const auto way = latency(from, found->second);
    std::string line;
    if (m_hooks.trace || m_hooks.before) {
        line = name.text() + " > " + message.to.text() + " " + describe(message.message);
        trace(delays.empty() ? "lost: " + line : line);
    }
    for (const Duration delay : delays) {
        at(m_now + way + delay,
           [this, to = message.to, line, event = PeerMessage{name, message.message}] { deliver(to, line, event); });
    }
}

void Harness::reopen(const Process &from, const InstanceName &peer)
{
    const auto name = from.member.instance.name;
    trace(name.text() + " opens a new stream to " + peer.text());
    if (!isUp(peer) || m_links[pairOf(name, peer)] == Link::Cut) {
        return;
    }
    at(m_now + 2 * latency(from, process(peer)), [this, name, peer] {
        if (m_links[pairOf(name, peer)] != Link::Cut) {
            linkUp(name, peer);
        }
    });
}

void Harness::linkUp(const InstanceName &left, const InstanceName &right)
{
    if (!isUp(left) || !isUp(right)) {
        return;
    }
    m_links[pairOf(left, right)] = Link::Up;
    deliver(left, "peer up", PeerUp{right});
    deliver(right, "peer up", PeerUp{left});
}

void Harness::linkDown(const InstanceName &left, const InstanceName &right)
{
    if (m_links[pairOf(left, right)] != Link::Cut) {
        return;
    }
    deliver(left, "peer down", PeerDown{right});
    deliver(right, "peer down", PeerDown{left});
}

void Harness::startRun(Process &process, const StartEndpointRun &start)
{
    const auto name = process.member.instance.name;
    trace("the endpoint of " + name.text() + " starts " + describe(start.spec.run));
    if (m_hooks.started) {
        m_hooks.started(name, start);
    }
    const double units = m_hooks.work ? m_hooks.work(start) : start.spec.size;
    process.endpoint.start(start, units, localNow(process));
    armEndpoint(process);
}

void Harness::cancelRun(Process &process, const CancelEndpointRun &cancel)
{
    const double done = process.endpoint.cancel(cancel.run, localNow(process));
    if (m_hooks.ended) {
        m_hooks.ended(process.member.instance.name, cancel.run, EndpointResult::Failed, done);
    }
    armEndpoint(process);
}

void Harness::answerOrder(Process &process, const SendOrder &order)
{
    if (order.kind == OrderKind::LoadModel) {
        process.member.models.push_back(order.model);
    }
    if (order.kind == OrderKind::UnloadModel) {
        std::erase(process.member.models, order.model);
    }
    at(m_now + orderTime, [this, name = process.member.instance.name, fence = order.fencingToken] {
        deliver(name, "order answered", OrderAnswered{fence, true});
    });
}

void Harness::advanceEndpoint(const InstanceName &name)
{
    Process &beside = process(name);
    for (const SidecarEvent &event : beside.endpoint.advance(localNow(beside))) {
        const auto *finished = std::get_if<EndpointRunEnded>(&event);
        if (finished != nullptr && m_hooks.ended) {
            m_hooks.ended(name, finished->run, finished->result, beside.endpoint.lastWork(finished->run));
        }
        deliver(name, "endpoint", event);
    }
    armEndpoint(beside);
}

void Harness::armEndpoint(Process &process)
{
    const auto due = process.endpoint.nextTime();
    if (!due) {
        process.endpointWake.reset();
        return;
    }
    const Duration time = std::max(due->time_since_epoch() - process.skew, m_now + Duration{1});
    if (process.endpointWake == time) {
        return;
    }
    process.endpointWake = time;
    at(time, [this, name = process.member.instance.name, life = process.life] {
        Process &woken = this->process(name);
        if (woken.life == life && woken.endpointWake == m_now) {
            woken.endpointWake.reset();
            advanceEndpoint(name);
        }
    });
}

void Harness::reportLoad(const InstanceName &name, std::uint64_t life)
{
    Process &beside = process(name);
    if (beside.life != life) {
        return;
    }
    at(m_now + m_fleet.document->policy.reportPeriod, [this, name, life] { reportLoad(name, life); });
    if (m_reportsHeld) {
        return;
    }
    EndpointLoadReport report = beside.endpoint.report();
    report.models = beside.member.models;
    at(m_now + m_reportLag, [this, name, life, report] {
        if (process(name).life == life) {
            deliver(name, "report", report);
        }
    });
}

} // namespace bergamottide::test
