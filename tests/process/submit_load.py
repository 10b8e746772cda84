"""Submits jobs, resubmits them and checks every answer against the starts.

Usage: submit_load.py SEED SECONDS ENDPOINT_PORT CALLERS_PORT...

Each of several threads submits jobs one after another: under a minted id, an id
that the caller chose, or no id. Jobs with an id are submitted again through a
random daemon while they run and afterwards. At the end the answers are compared
with the endpoints' own count of starts per task. Exits with 1 if an answer is
wrong, a task started more than once, or no job was completed.
"""

import collections
import http.client
import json
import random
import sys
import threading
import time

THREAD_COUNT = 12
TIMEOUT_SECONDS = 30


def call(port, method, path, body=None):
    """Returns the parsed answer, or None if there was no valid answer."""
    try:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_SECONDS)
        connection.request(method, path, json.dumps(body) if body is not None else None)
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer
    except (OSError, ValueError, http.client.HTTPException):
        return None


class Caller(threading.Thread):
    def __init__(self, number, seed, end, ports):
        super().__init__()
        self.number, self.rng = number, random.Random(seed * 1000 + number)
        self.end, self.ports = end, ports
        self.answers = []  # (job, answer or None)

    def run(self):
        count = 0
        while time.time() < self.end:
            count += 1
            self.submit_job(count)

    def submit_job(self, count):
        job = {"customer": self.rng.choice(["wharf", "depot"]), "deadline_ms": 15000,
               "tasks": [{"id": f"t{i}", "kind": "k", "run_ms": 50, "memory_mb": 1,
                          "payload": str(self.rng.randint(10, 150))}
                         for i in range(self.rng.randint(1, 6))]}
        id_source = self.rng.choice(["minted", "chosen", "none"])
        if id_source == "minted":
            minted = call(self.rng.choice(self.ports), "POST", "/v1/ids")
            if minted is None:
                return
            job["id"] = minted["id"]
        elif id_source == "chosen":
            job["id"] = f"c{self.number}-{count}@{int(time.time() * 1000)}"
        threads = [threading.Thread(target=self.submit, args=(job,))]
        if id_source != "none":
            threads += [threading.Thread(target=self.submit, args=(job,))
                        for _ in range(self.rng.randint(0, 2))]
        for thread in threads:
            thread.start()
            time.sleep(self.rng.choice([0, 0.05]))
        for thread in threads:
            thread.join()
        if id_source != "none":
            self.submit(job)

    def submit(self, job):
        answer = call(self.rng.choice(self.ports), "POST", "/v1/jobs", job)
        self.answers.append((job, answer))


def main():
    seed, seconds, endpoint_port = map(int, sys.argv[1:4])
    ports = list(map(int, sys.argv[4:]))
    end = time.time() + seconds
    callers = [Caller(i, seed, end, ports) for i in range(THREAD_COUNT)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    starts = call(endpoint_port, "GET", "/v1/starts")
    starts_by_submission = collections.Counter()
    for name, count in starts.items():
        starts_by_submission["/".join(name.split("/")[:2])] += count
    violations = [f"{name} started {count} times" for name, count in starts.items() if count > 1]
    statuses = collections.Counter()
    last_answers = {}  # The last answer to each submission.
    for caller in callers:
        for job, answer in caller.answers:
            if answer is None:
                statuses["no answer"] += 1
                continue
            name = f"{job['customer']}/{answer['id']}"
            statuses[f"{answer['status']} {answer['code_name']}"] += 1
            last_answers[name] = answer
            if "id" in job and answer["id"] != job["id"]:
                violations.append(f"{name}: answer has another id than {job['id']}")
            if answer["status"] == "complete":
                answered_tasks = {task["task"] for task in answer["tasks"]}
                if answered_tasks != {task["id"] for task in job["tasks"]}:
                    violations.append(f"{name}: complete, but the tasks in the answer differ")
                if any(task["output"] != "done:" + task["task"] for task in answer["tasks"]):
                    violations.append(f"{name}: output belongs to another task")
            elif "tasks" in answer:
                violations.append(f"{name}: task results in an answer that is not complete")
    for name, answer in last_answers.items():
        if answer["state"] == "not_started" and starts_by_submission[name] > 0:
            violations.append(f"{name}: answered not_started, but {starts_by_submission[name]} starts")
    print(f"starts {sum(starts.values())}, tasks {len(starts)}, answers {dict(statuses)}")
    for line in violations[:20]:
        print("VIOLATION:", line)
    complete_count = statuses["complete ok"]
    sys.exit(1 if violations or complete_count == 0 else 0)


if __name__ == "__main__":
    main()
