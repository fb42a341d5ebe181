"""See claim.txt."""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from deployment import BROKEN, HELD, HOST, CouldNotRun, request, run_case  # noqa: E402
from model_server import ContextStore, ModelServer  # noqa: E402

MODEL = "daka510000"
SYSTEM_PROMPT = "5c1e07a2:2000"  # The part that the prompts of all tenants have.
MANUALS = {1: "91bd3f06:3000", 2: "a0b1c2d3:3000"}  # Another part of them, before and after version 2.
KEYS = {"bozi300": "jnbanfqasnmgkcuyj8pj", "jeye930": "nu6wsjnbanfqasnmgkcu", "shared": "yj8pjbvk9m68k7b2ex5w"}
WAIT_SECONDS = 3  # Longer than configuration-ms of 2,000.


def config(version, tenants, store):
    return {
        "version": version,
        "routes": [{"name": "ask", "host": HOST, "path-prefix": "/ask/", "kind": "streaming", "service": "models",
                    "attempts": 1, "timeout-ms": 15000, "target-latency-ms": 800, "target-gap-ms": 250, "priority": 1,
                    "public": False, "sticky": True, "resumable": False}],
        "services": [{"name": "models", "health-path": "/health", "connection-limit": 620,
                      "engine": {"slots": 128, "kv-capacity-tokens": 142125, "kv-token-bytes": 35136,
                                 "link-mbps": 1100000.0, "managed": True, "models": [{"name": MODEL}]}},
                     store.service()],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": name, "api-keys": [KEYS[name]], "isolated": isolated}
                    for name, isolated in tenants.items()]}


async def ask(deployment, entry, tenant, request_id, manual, own):
    prompt = f"{SYSTEM_PROMPT},{manual},{own}:300"
    status, _, body = await request(
        entry, {"X-Api-Key": KEYS[tenant], "X-Daisytack-Request-Id": request_id, "X-Daisytack-Model": MODEL,
                "X-Daisytack-Token-Counts": "5300,80", "X-Daisytack-Prompt-Prefix": prompt,
                "X-Daisytack-Deadline-Milliseconds": "15000"}, b"prompt", f"/ask/{request_id}")
    deployment.record(f"the caller of {request_id}, tenant {tenant}, gets {status}, {body!r:.40}")
    return status


async def play(deployment, with_trouble):
    store = await ContextStore("keep", "z0").start()
    now_in_force = {"bozi300": False, "jeye930": False}
    deployment.kv.put("op/config", config(1, now_in_force, store))
    for number in range(2):
        server = ModelServer(deployment, number, "models", f"z{number}", {MODEL: 1}, [store])
        deployment.servers.append(await server.start())
    beats = asyncio.ensure_future(deployment.heartbeats())
    await deployment.start_entries(["z0", "z1"])
    await asyncio.sleep(WAIT_SECONDS)
    statuses, isolated = [], {}
    for count, entry in enumerate(deployment.entries * 2):
        statuses.append(await ask(deployment, entry, "bozi300", f"b1-{count}", MANUALS[1], f"b{count:07x}"))
        await asyncio.sleep(1)
        statuses.append(await ask(deployment, entry, "jeye930", f"j1-{count}", MANUALS[1], f"c{count:07x}"))
    used_before = [len(it.uses) for it in deployment.servers]
    if with_trouble:
        now_in_force = {"shared": True, "jeye930": False, "bozi300": True}
        deployment.kv.put("op/config", config(2, now_in_force, store))
        deployment.record("the store has acknowledged version 2: isolated are "
                          + ", ".join(name for name, it in now_in_force.items() if it))
    await asyncio.sleep(WAIT_SECONDS)
    for count, entry in enumerate(deployment.entries * 2):
        for tenant in now_in_force:
            statuses.append(await ask(deployment, entry, tenant, f"{tenant[0]}2-{count}", MANUALS[2],
                                      f"{len(tenant)}{count + 16:07x}"))
            await asyncio.sleep(0.5)
    beats.cancel()
    if any(it != 200 for it in statuses):
        raise CouldNotRun(f"not every request was served: {statuses}")
    if not any(used_before):
        raise CouldNotRun("no part was taken from the store")
    result = HELD
    for server, count in zip(deployment.servers, used_before):
        for use in server.uses[count:]:
            isolated = {use.tenant, use.part.tenant} & {name for name, it in now_in_force.items() if it}
            if use.tenant != use.part.tenant and isolated:
                deployment.record(f"WALL: request {use.request} of {use.tenant} used part {use.id}, which request "
                                  f"{use.part.request} of {use.part.tenant} made; isolated: {', '.join(isolated)}")
                result = BROKEN
    return result


run_case(play, HERE / "record.txt")
