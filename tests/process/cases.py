"""Helpers of the process tests. Each file runs its cases one after another over one deployment; cases check outcomes,
never timing."""

import concurrent.futures
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from deployment import Deployment, answer_of, is_whole, text_of  # noqa: E402
from fleet import Fleet, check, stats, wait_for  # noqa: E402

LONG_TOKENS = 150
SLOW_ENGINE = ("--decode_rate=100", "--prefill_rate=0", "--status_lag_ms=50")


def run_cases(*cases, **options):
    """Runs the cases over one deployment. The first failure ends the run and prints the logs."""
    options.setdefault("engine_flags", SLOW_ENGINE)
    with Fleet() as fleet:
        deployment = Deployment(fleet, **options).start()
        for case in cases:
            begin = time.monotonic()
            case(deployment)
            print(f"{case.__name__} ok, {time.monotonic() - begin:.1f} s", flush=True)


def agent_running(deployment):
    """Waits until an engine has a run; returns its agent."""
    def probe():
        for agent in deployment.agents:
            if agent.serves == "m" and stats(agent.server)["running"] > 0:
                return agent
        return None
    return wait_for("an engine has a run", probe)


def wait_engines_idle(deployment):
    """Waits until no engine has a run, so that cases don't affect each other."""
    wait_for("engines are idle", lambda: deployment.engine_stats("running") + deployment.engine_stats("waiting") == 0)


def restart(deployment, instance):
    """Restarts a killed instance and waits until it serves."""
    deployment.start_instance(instance)
    deployment.wait_ready(instance)
    if instance.role == "entry":
        deployment.wait_routed(instance)


def start_long_stream(deployment, prompt, events=3, **more):
    """Starts a stream and reads the given number of events."""
    stream = deployment.stream(prompt, max_tokens=LONG_TOKENS, **more)
    check(stream.status == 200, f"stream: {stream.status} {stream.response.read()[:300] if stream.status != 200 else ''}")
    for _ in range(events):
        check(stream.next() is not None, f"the stream ended early: {stream.events}")
    return stream


def check_whole(events, prompt, tokens=LONG_TOKENS):
    """Checks that the events are the complete answer to the prompt, without duplicates."""
    text, want = text_of(events), answer_of(prompt, tokens)
    check(text == want, f"another text: got {len(text)} bytes {text[-60:]!r}, wanted {len(want)}; last {events[-1:]}")
    check(is_whole(events), f"no proper end: {events[-1:]}")


def in_parallel(calls):
    """Makes all calls at once; returns their results in order."""
    with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
        return [future.result() for future in [pool.submit(call) for call in calls]]
