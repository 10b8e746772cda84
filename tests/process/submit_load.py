"""Sends jobs with resubmissions and checks every answer against the starts.

Usage: submit_load.py SEED SECONDS ENDPOINT_PORT CALLERS_PORT...

Each of several threads sends jobs one after another: under a minted id, under
an id of its own, or without one; most are sent again through another daemon,
while they run or after. At the end the endpoints' own count of starts per task
is compared with what the callers were told. Exits 1 when a promise is broken.
"""

import collections
import http.client
import json
import random
import sys
import threading
import time

THREADS = 12
TIMEOUT_SECONDS = 30


def call(port, method, path, body=None):
    """The parsed answer, or None when the connection failed."""
    try:
        link = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_SECONDS)
        link.request(method, path, json.dumps(body) if body is not None else None)
        answer = json.loads(link.getresponse().read())
        link.close()
        return answer
    except (OSError, ValueError, http.client.HTTPException):
        return None


class Caller(threading.Thread):
    def __init__(self, number, seed, end, ports):
        super().__init__()
        self.number, self.rng = number, random.Random(seed * 1000 + number)
        self.end, self.ports = end, ports
        self.told = []  # (job, answer or None)

    def run(self):
        count = 0
        while time.time() < self.end:
            count += 1
            self.send_job(count)

    def send_job(self, count):
        job = {"customer": self.rng.choice(["wharf", "depot"]), "deadline_ms": 15000,
               "tasks": [{"id": f"t{i}", "kind": "k", "run_ms": 50, "memory_mb": 1,
                          "payload": str(self.rng.randint(10, 150))}
                         for i in range(self.rng.randint(1, 6))]}
        way = self.rng.choice(["minted", "chosen", "none"])
        if way == "minted":
            minted = call(self.rng.choice(self.ports), "POST", "/v1/ids")
            if minted is None:
                return
            job["id"] = minted["id"]
        elif way == "chosen":
            job["id"] = f"c{self.number}-{count}@{int(time.time() * 1000)}"
        senders = [threading.Thread(target=self.send, args=(job,))]
        if way != "none":
            senders += [threading.Thread(target=self.send, args=(job,))
                        for _ in range(self.rng.randint(0, 2))]
        for sender in senders:
            sender.start()
            time.sleep(self.rng.choice([0, 0.05]))
        for sender in senders:
            sender.join()
        if way != "none":
            self.send(job)

    def send(self, job):
        answer = call(self.rng.choice(self.ports), "POST", "/v1/jobs", job)
        self.told.append((job, answer))


def main():
    seed, seconds, endpoint_port = map(int, sys.argv[1:4])
    ports = list(map(int, sys.argv[4:]))
    end = time.time() + seconds
    callers = [Caller(i, seed, end, ports) for i in range(THREADS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    starts = call(endpoint_port, "GET", "/v1/starts")
    by_submission = collections.Counter()
    for name, count in starts.items():
        by_submission["/".join(name.split("/")[:2])] += count
    broken = [f"{name} started {count} times" for name, count in starts.items() if count > 1]
    statuses = collections.Counter()
    last_told = {}
    for caller in callers:
        for job, answer in caller.told:
            if answer is None:
                statuses["no answer"] += 1
                continue
            name = f"{job['customer']}/{answer['id']}"
            statuses[f"{answer['status']} {answer['code_name']}"] += 1
            last_told[name] = answer
            if "id" in job and answer["id"] != job["id"]:
                broken.append(f"{name}: answer for another id than {job['id']}")
            if answer["status"] == "complete":
                ran = {task["task"] for task in answer["tasks"]}
                if ran != {task["id"] for task in job["tasks"]}:
                    broken.append(f"{name}: complete without all tasks")
                if any(task["output"] != "done:" + task["task"] for task in answer["tasks"]):
                    broken.append(f"{name}: output of another task")
            elif "tasks" in answer:
                broken.append(f"{name}: partial answer")
    for name, answer in last_told.items():
        if answer["state"] == "not_started" and by_submission[name] > 0:
            broken.append(f"{name}: told not_started, {by_submission[name]} starts")
    print(f"starts {sum(starts.values())}, tasks {len(starts)}, answers {dict(statuses)}")
    for line in broken[:20]:
        print("BROKEN:", line)
    complete = statuses["complete ok"]
    sys.exit(1 if broken or complete == 0 else 0)


if __name__ == "__main__":
    main()
