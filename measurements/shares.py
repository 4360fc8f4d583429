"""Deviation of each team from its share, compared with a first-come baseline.

The real admission, loans and coordination of nine daemons run in virtual time on an
in-memory network. The reference is generalized processor sharing, the fluid form
of weighted max-min: at any time, each team with unserved work gets its share of the
pool. A team's error is the difference between received and entitled work in a
window of 10 s in which its service is full, divided by the larger of its entitled
work and one percent of the pool. Full means that at least two teams compete: in the
last second of a backlog a single team may use all slots, and a lag of the pool of a
tenth of a second would count as that team's share error.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from functools import cache

import anyio

from pomeloyard.outcomes import Done
from pomeloyard.shares import weighted_max_min

from .figures import Figure, at_most
from .support.daemons import start_nodes
from .support.deployments import (
    DEPLOYMENTS,
    SHARES_BY_TEAM,
    Deployment,
    executors_of,
    fleet_config,
)
from .support.virtual_time import LoopClock, run_virtual

DAEMONS = 9
SLOTS = 8
WINDOW = 10
PEAK_SECONDS = 15
WARM_UP_SECONDS = 5
"""Initial time without a peak, in which the daemons divide the capacity."""

PEAK_OVER_CAPACITY = 1.5
"""At its peak, a queue's demand exceeds the capacity of its pool."""

TROUGH_OVER_PEAK = 0.01
"""Demand is five times the mean at the peak and a twentieth of it otherwise."""

MEAN_WORK_SECONDS = 0.1
SHARE_ERROR_BOUND = 0.02
DEMAND_BY_TEAM = {
    "t1": 0.30,
    "t2": 0.25,
    "t3": 0.20,
    "t4": 0.15,
    "t5": 0.07,
    "t6": 0.03,
}
STEP = 0.01
"""Time step of the fluid reference in seconds."""

EPSILON = 1e-9
SEED = 7


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request: arrival time, service, team, receiving daemon and run time."""

    at: float
    service: str
    team: str
    daemon: int
    work: float


def total_seconds(deployment: Deployment) -> int:
    """Return the total time in which each service has one peak."""
    return WARM_UP_SECONDS + PEAK_SECONDS * len(deployment.services)


def arrivals(deployment: Deployment, seed: int) -> list[Arrival]:
    """Return the requests of one peak per service, ordered by time."""
    rng = random.Random(seed)
    capacity = deployment.executors * SLOTS
    end = total_seconds(deployment)
    result = []
    # A client account reuses its connections, so it reaches few daemons.
    daemons_by_team = {team: rng.sample(range(DAEMONS), 4) for team in DEMAND_BY_TEAM}
    for position, service in enumerate(deployment.services):
        for team, part in DEMAND_BY_TEAM.items():
            peak = PEAK_OVER_CAPACITY * capacity * part / MEAN_WORK_SECONDS
            now = 0.0
            while now < end:
                in_peak = (now - WARM_UP_SECONDS) // PEAK_SECONDS == position
                rate = peak if in_peak else peak * TROUGH_OVER_PEAK
                now += rng.expovariate(rate)
                work = rng.uniform(0.5, 1.5) * MEAN_WORK_SECONDS
                daemon = rng.choice(daemons_by_team[team])
                result.append(Arrival(now, service, team, daemon, work))
    return sorted(result, key=lambda a: a.at)


Samples = dict[tuple[str, str], list[float]]
"""Cumulative work by (service, team), one value per second."""


def fluid_reference(
    deployment: Deployment, demand: list[Arrival], seconds: int
) -> tuple[Samples, dict[str, list[bool]]]:
    """Return entitled work, and the seconds in which teams competed for a service."""
    capacity = deployment.executors * SLOTS
    samples: Samples = {}
    full: dict[str, list[bool]] = {}
    for service in deployment.services:
        pending = deque(a for a in demand if a.service == service)
        backlog = dict.fromkeys(SHARES_BY_TEAM, 0.0)
        served = dict.fromkeys(SHARES_BY_TEAM, 0.0)
        for team in SHARES_BY_TEAM:
            samples[service, team] = [0.0]
        full[service] = []
        for second in range(seconds):
            always_full = True
            for step in range(round(1 / STEP)):
                now = second + (step + 1) * STEP
                while pending and pending[0].at <= now:
                    arrival = pending.popleft()
                    backlog[arrival.team] += arrival.work
                # A request occupies one slot, so few of them cannot use more.
                rates = {
                    team: min(work / STEP, math.ceil(work / MEAN_WORK_SECONDS))
                    for team, work in backlog.items()
                }
                share = weighted_max_min(capacity, rates, SHARES_BY_TEAM)
                unserved = sum(rates[t] > slots + EPSILON for t, slots in share.items())
                contended = sum(rates.values()) >= capacity and unserved >= 2
                always_full &= contended
                for team, slots in share.items():
                    backlog[team] = max(0.0, backlog[team] - slots * STEP)
                    served[team] += slots * STEP
            full[service].append(always_full)
            for team in SHARES_BY_TEAM:
                samples[service, team].append(served[team])
    return samples, full


def first_come(deployment: Deployment, demand: list[Arrival], seconds: int) -> Samples:
    """Return work received when each service has one first-in, first-out queue."""
    samples: Samples = {}
    for service in deployment.services:
        free_at = [0.0] * (deployment.executors * SLOTS)
        runs = []
        for arrival in (a for a in demand if a.service == service):
            slot = min(range(len(free_at)), key=free_at.__getitem__)
            start = max(arrival.at, free_at[slot])
            free_at[slot] = start + arrival.work
            runs.append((arrival.team, start, start + arrival.work))
        for team in SHARES_BY_TEAM:
            team_runs = [(start, end) for t, start, end in runs if t == team]
            samples[service, team] = [
                sum(max(0.0, min(end, second) - start) for start, end in team_runs)
                for second in range(seconds + 1)
            ]
    return samples


async def run_daemons(
    deployment: Deployment, demand: list[Arrival], seconds: int
) -> tuple[Samples, list[float]]:
    """Return work received, and the control bytes per second that each daemon sends."""
    clock = LoopClock()
    received: dict[tuple[str, str], float] = defaultdict(float)
    running: dict[int, tuple[tuple[str, str], float]] = {}
    samples: Samples = {(s, t): [] for s in deployment.services for t in SHARES_BY_TEAM}

    async def request(node, arrival: Arrival, number: int) -> None:
        outcome = await node.admission.acquire(
            arrival.service,
            arrival.team,
            deadline=timedelta(seconds=arrival.at + 600),
            queue_length=1_000_000,
        )
        if not isinstance(outcome, Done):
            return
        key = (arrival.service, arrival.team)
        running[number] = (key, anyio.current_time())
        await anyio.sleep(arrival.work)
        received[key] += arrival.work
        del running[number]
        node.admission.release(outcome.value)

    def sample() -> None:
        now = anyio.current_time()
        total = defaultdict(float, received)
        for key, since in running.values():
            total[key] += now - since
        for key, values in samples.items():
            values.append(total[key])

    async with anyio.create_task_group() as tasks:
        nodes = start_nodes(
            tasks,
            clock,
            DAEMONS,
            fleet_config(deployment),
            executors_of(deployment),
            deployment.latency,
        )
        tasks.start_soon(_sample_each_second, sample, seconds)
        for number, arrival in enumerate(demand):
            await anyio.sleep_until(arrival.at)
            node = nodes[arrival.daemon]
            tasks.start_soon(request, node, arrival, number)
        await anyio.sleep_until(seconds + 0.5)
        sent = [sum(n.network.sent_bytes_by_type.values()) / seconds for n in nodes]
        tasks.cancel_scope.cancel()
    return samples, sent


async def _sample_each_second(sample, seconds: int) -> None:
    for second in range(seconds + 1):
        await anyio.sleep_until(second)
        sample()


@dataclass(frozen=True, slots=True)
class Window:
    """Work of a team in one window of full service, in slot-seconds."""

    service: str
    team: str
    end: int
    received: float
    entitled: float
    error: float
    """(received - entitled) / max(entitled, floor)."""


def full_windows(
    deployment: Deployment,
    received: Samples,
    entitled: Samples,
    full: dict[str, list[bool]],
) -> Iterator[Window]:
    """Yield each team's windows during which its service is full throughout."""
    floor = 0.01 * deployment.executors * SLOTS * WINDOW
    for (service, team), values in received.items():
        reference = entitled[service, team]
        for end in range(WINDOW, len(full[service]) + 1):
            if not all(full[service][end - WINDOW : end]):
                continue
            received_work = values[end] - values[end - WINDOW]
            entitled_work = reference[end] - reference[end - WINDOW]
            error = (received_work - entitled_work) / max(entitled_work, floor)
            yield Window(service, team, end, received_work, entitled_work, error)


@dataclass(frozen=True, slots=True)
class SharesRun:
    """Windows of one run under the daemons and under first-come service."""

    seconds: int
    daemons: list[Window]
    first_come: list[Window]
    control: list[float]
    """Control bytes per second that each daemon sends."""


@cache
def shares_run(deployment: Deployment) -> SharesRun:
    """Run a deployment's demand once; figures and plots share the result."""
    seconds = total_seconds(deployment)
    demand = arrivals(deployment, SEED)
    entitled, full = fluid_reference(deployment, demand, seconds)
    baseline = first_come(deployment, demand, seconds)
    received, control = run_virtual(run_daemons, deployment, demand, seconds)
    return SharesRun(
        seconds,
        list(full_windows(deployment, received, entitled, full)),
        list(full_windows(deployment, baseline, entitled, full)),
        control,
    )


def largest_error(windows: list[Window]) -> float:
    """Return the largest error of any team over all windows of full service."""
    return max((abs(window.error) for window in windows), default=0.0)


def measure() -> Iterable[Figure]:
    """Yield share errors and control traffic for both deployments."""
    for deployment in DEPLOYMENTS:
        run = shares_run(deployment)
        name = deployment.name
        error = largest_error(run.daemons)
        yield at_most("share-error-10s", error, "ratio", SHARE_ERROR_BOUND, name)
        worst = largest_error(run.first_come)
        yield Figure("share-error-10s-first-come", worst, "ratio", deployment=name)
        mean = sum(run.control) / len(run.control)
        yield at_most("capacity-control-sent-mean", mean, "bytes/s", 2048.0, name)
        # The coordinator sends most.
        most = max(run.control)
        yield at_most("capacity-control-sent-greatest", most, "bytes/s", 2048.0, name)
