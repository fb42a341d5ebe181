"""A small deployment on loopback: stand-ins for the platform, entries, agents and their backend servers."""

import hashlib
import json

from fleet import HOST, Stream, check, request, stats, wait_for

OPERATOR_KEY = "operator-key-for-loopback-only"
SECRET = "a-secret-for-loopback-only-0123456789abcdef"
PIECE_BYTES = 4096
WITH_OPERATORS = ("agent", "entry")
DOMAINS = ("kengarags", "imanta", "jugla")


def key_of(organisation):
    """Returns the bearer key of an organisation."""
    return f"key-of-{organisation}"


def key_hash(key):
    return hashlib.sha256(key.encode()).hexdigest()


def prompt_of(name, pieces=0):
    """Returns a prompt that begins with the name and fills at least the given number of whole pieces."""
    filling = f"{name} style guide. "
    text = filling * (pieces * PIECE_BYTES // len(filling) + 1) if pieces else ""
    return f"{name}: {text}"


def answer_of(prompt, tokens, first=0):
    """Returns the stand-in engine's answer to a prompt, from token number first up to tokens."""
    word = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return "".join(f"{word}.{n} " for n in range(first, tokens))


def default_objects():
    """Returns the initial configuration objects by key."""
    objects = {
        "model/m": {"version": "v1", "min_servers": 1},
        "class/default": {"priority": 5, "deadline": "60s", "keep": "always"},
        "class/bulletin": {"priority": 3, "deadline": "60s", "keep": "second_sight"},
        "service/registry": {"idempotent": False, "deadline": "20s"},
        "operator/root": {"key_hash": key_hash(OPERATOR_KEY), "role": "administrator"},
    }
    for name in ("agora", "balta"):
        objects[f"organisation/{name}"] = {
            "key_hash": key_hash(key_of(name)), "requests_per_second": 100000.0, "burst": 100000,
            "max_concurrent": 100000}
    return objects


class Instance:
    """One entry or agent process and its ports. server is the port of an agent's backend server, 0 for none."""

    def __init__(self, name, role, number, fleet):
        self.name, self.role, self.number = name, role, number
        self.work, self.peer, self.operators = fleet.port(), fleet.port(), fleet.port()
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.serves, self.server = "", 0

    def list_entry(self, state="live"):
        """Returns the record of this process in the platform's instance list."""
        return {"name": self.name, "role": self.role, "state": state, "region": "riga", "failure_domain": self.domain,
                "serves": self.serves, "service": self.serves == "registry", "work": f"{HOST}:{self.work}",
                "peer": f"{HOST}:{self.peer}"}


class Deployment:
    """A whole deployment. start() starts the stand-ins first, then all agents and entries at once."""

    def __init__(self, fleet, entries=2, agents=3, stores=2, services=1, engine_flags=(), objects=None, settings=None):
        self.fleet = fleet
        self.engine_flags = engine_flags
        self.settings = settings or {}
        self.objects = objects or default_objects()
        self.entries = [Instance(f"entry-{n}", "entry", n, fleet) for n in range(entries)]
        self.agents = [Instance(f"agent-{n}", "agent", n, fleet) for n in range(agents + services)]
        for n, agent in enumerate(self.agents):
            agent.serves = "m" if n < agents else "registry"
        self.store_count = stores

    def start(self):
        """Starts all processes and waits until they are ready and every entry answers prompts."""
        fleet = self.fleet
        values = {f"/daisytack/config/{key}": value for key, value in self.objects.items()}
        self.kv = fleet.start_standin("kv", "kv", f"--file={fleet.write('config.json', json.dumps(values))}")
        instances = [i.list_entry() for i in self.entries + self.agents]
        self.list = fleet.start_standin("list", "list", f"--file={fleet.write('list.json', json.dumps(instances))}")
        self.weights = fleet.start_standin("weights", "weights")
        self.stores = [fleet.start_standin("store", f"store-{n}") for n in range(self.store_count)]
        for agent in self.agents:
            mode = "service" if agent.serves == "registry" else "engine"
            flags = self.engine_flags if mode == "engine" else ()
            agent.server = fleet.start_standin(mode, f"{mode}-{agent.number}", *flags)
        for instance in self.agents + self.entries:
            self.start_instance(instance)
        for instance in self.agents + self.entries:
            self.wait_ready(instance)
        self.wait_routed()
        return self

    def start_instance(self, instance):
        """Starts one entry or agent without waiting for it."""
        path = self.fleet.write(f"{instance.name}.ini", self.settings_of(instance))
        self.fleet.start(instance.name, f"daisytack-{instance.role}", f"--config={path}")

    def wait_ready(self, instance):
        if instance.role in WITH_OPERATORS:
            self.fleet.wait_up(instance.name, instance.operators, "/readyz")
        else:
            self.fleet.wait_listens(instance.name, instance.work)

    def wait_routed(self, *entries):
        """Waits until the given entries answer prompts; without arguments, until all entries do."""
        for entry in entries or self.entries:
            wait_for(f"{entry.name} answers prompts",
                     lambda at=entry: self.complete("ready?", at=at, max_tokens=1).status == 200)

    def settings_of(self, instance):
        """Returns the settings of the instance as INI text."""
        sections = {
            "instance": {"name": instance.name, "region": "riga", "failure_domain": instance.domain,
                         "work": f"{HOST}:{instance.work}", "peer": f"{HOST}:{instance.peer}"},
            "platform": {"key_value": f"{HOST}:{self.kv}", "instance_list": f"{HOST}:{self.list}"},
            "peer_keys": {"2026": "a-peer-secret-for-loopback-only-0123456789"},
        }
        if instance.role in WITH_OPERATORS:
            sections["operators"] = {"listen": f"{HOST}:{instance.operators}"}
        if instance.role == "entry":
            sections["context"] = {"secret": SECRET}
        if instance.role == "agent":
            sections["agent"] = {"serves": instance.serves, "server": f"{HOST}:{instance.server}",
                                 "kind": "service" if instance.serves == "registry" else "model"}
            sections["platform"]["weights"] = f"{HOST}:{self.weights}"
            sections["stores"] = {f"store-{n}": f"{DOMAINS[n % len(DOMAINS)]} {HOST}:{port}"
                                  for n, port in enumerate(self.stores)}
        for name, values in self.settings.get(instance.role, {}).items():
            sections.setdefault(name, {}).update(values)
        return "".join(f"[{name}]\n" + "".join(f"{k} = {v}\n" for k, v in values.items()) + "\n"
                       for name, values in sections.items())

    # Requests of callers.

    def headers(self, organisation="agora", **more):
        """Returns the headers of a caller. Keyword arguments add headers, with "_" in place of "-"."""
        out = {"Authorization": f"Bearer {key_of(organisation)}", "Content-Type": "application/json"}
        out.update({name.replace("_", "-"): str(value) for name, value in more.items()})
        return out

    def complete(self, prompt, at=None, headers=None, **more):
        """Sends a prompt; returns the whole answer."""
        body = {"model": "m", "prompt": prompt, "max_tokens": 16, **more}
        return request((at or self.entries[0]).work, "POST", "/v1/completions", body, headers or self.headers())

    def stream(self, prompt, at=None, headers=None, **more):
        """Sends a prompt; returns the stream of its answer."""
        body = {"model": "m", "prompt": prompt, "max_tokens": 16, "stream": True, **more}
        return Stream((at or self.entries[0]).work, "/v1/completions", body, headers or self.headers())

    # Requests of operators.

    def command(self, text, at=None, kind="command"):
        """Sends an operator's command or query; returns the answer."""
        return request((at or self.entries[0]).operators, "POST", f"/v1/{kind}", {"text": text},
                       {"Authorization": f"Bearer {OPERATOR_KEY}"})

    def engines(self):
        """Returns the ports of the model engines."""
        return [a.server for a in self.agents if a.serves == "m"]

    def engine_stats(self, counter):
        """Returns a counter summed over all engines."""
        return sum(stats(port).get(counter, 0) for port in self.engines())


def text_of(events):
    """Returns the text of a stream's events. is_whole() checks whether the stream is complete."""
    text = ""
    for event in events:
        if event.get("data") in (None, "[DONE]") or event.get("event") == "error":
            continue
        choices = json.loads(event["data"]).get("choices") or [{}]
        text += choices[0].get("text") or (choices[0].get("delta") or {}).get("content") or ""
    return text


def is_whole(events):
    return bool(events) and events[-1].get("data") == "[DONE]"


def problem_of(answer, kind=None, outcome=None):
    """Checks that the answer is a problem of the given kind and outcome; returns the problem."""
    problem = json.loads(answer.body)
    check("problem+json" in answer.headers["Content-Type"], f"no problem+json: {answer.body}")
    check(problem["remedy"], f"no remedy: {problem}")
    check(kind in (None, problem["kind"]), f"{problem['kind']} in place of {kind}: {problem}")
    check(outcome in (None, problem["outcome"]), f"{problem['outcome']} in place of {outcome}: {problem}")
    return problem
