import { Buffer } from "node:buffer";
import { PassThrough } from "node:stream";
import { encode } from "cbor-x";
import { test } from "tap";
import { err, ok } from "neverthrow";
import { createLog, Part } from "@dragonflyledge/log";
import type { CommitOutcome, Item, KeyValue } from "@dragonflyledge/platform";
import type { HttpAnswer, HttpRequest } from "@dragonflyledge/program";
import {
  cancelKey,
  createProgress,
  FailureCode,
  jobKey,
  JobStatus,
  packProgress,
  progressKey,
} from "@dragonflyledge/scheduler";
import { createCallerApi } from "./caller_api.ts";
import type { ForwardOutcome } from "./peers.ts";
import { createReplica } from "./replica.ts";

const ID = "5c0e7a21d94b36f8";
/** Record of a submitted job. */
const STORED_REQUEST = encode({
  id: ID,
  queue: "queue",
  team: "team",
  spec: "text",
  steps: [{ count: 1, accelerators: 1 }],
  policy: { service: "service", priority: 0, maxAttempts: 2 },
  acceptedAt: 0,
});
const refused = { kind: "refused", reason: "status 503" } as const;
const unknown = { kind: "unknown", reason: "no answer" } as const;

/** Creates an API whose store returns the given outcomes and then commits. */
function createEntryApi(fields: {
  commits?: CommitOutcome[];
  storeFails?: boolean;
  /** Whether the configuration is confirmed; true by default. */
  confirmed?: boolean;
  /** Highest version by which a caller was answered; 1 by default. */
  newestUsed?: number;
  /** Time at which the store answers again. */
  storeReturnsAt?: number;
  forward?: (request: HttpRequest) => ForwardOutcome;
  /** What the store answers to reads; nothing by default. */
  item?: Item;
}) {
  const commits = [...fields.commits ?? []];
  const keys: string[] = [];
  let reads = 0;
  let now = 0;
  const storeFails = () =>
    (fields.storeFails ?? false) && now < (fields.storeReturnsAt ?? Infinity);
  const replica = createReplica({ onBadItem: () => {} });
  const store = {
    commit: (commit: Parameters<KeyValue["commit"]>[0]) => {
      keys.push(commit.puts[0]!.key);
      return Promise.resolve(
        commits.shift() ?? { kind: "committed", revision: 5 } as const,
      );
    },
    grant: () => Promise.resolve(ok(1)),
    read: () => {
      reads++;
      return Promise.resolve(storeFails() ? err(refused) : ok(fields.item));
    },
  } as unknown as KeyValue;
  const api = createCallerApi({
    store,
    replica,
    configurations: {
      age: () => 0,
      isConfirmed: () => fields.confirmed ?? true,
      newestUsed: () => fields.newestUsed ?? 1,
      current: () => ({
        version: 1,
        queues: [{
          name: "queue",
          host: "jobs.example",
          prefix: "/plans/",
          service: "service",
          priority: 0,
          maxAttempts: 2,
          anonymous: false,
        }],
        teams: [{ name: "team", keys: ["key"], guaranteedAccelerators: 8 }],
        bodyLimit: 1000,
        headerLimit: 1000,
        headerTimeout: 1000,
        idleTimeout: 1000,
      }),
    },
    storeFails,
    forward: (request) =>
      Promise.resolve(fields.forward?.(request) ?? { kind: "notSent" }),
    clock: { now: () => now, date: () => new Date(0) },
    timer: {
      after: (delay, task) => {
        now += delay;
        setImmediate(task);
        return () => {};
      },
    },
    log: createLog({
      part: Part.Entry,
      level: "error",
      stream: new PassThrough(),
    }),
  });
  return { api, keys, replica, reads: () => reads, now: () => now };
}

function createRequest(
  method: string,
  path = `/plans/${ID}`,
  key = "key",
): HttpRequest {
  const body = { spec: "text", steps: [{ count: 1, cpu: 1000, gpu: 1 }] };
  return {
    method,
    path,
    headers: { host: "jobs.example", "x-api-key": key },
    body: Buffer.from(JSON.stringify(body)),
  };
}

const answered = (status: number): ForwardOutcome => ({
  kind: "answer",
  answer: { status } as HttpAnswer,
});

// Guards against a job that is stored twice, or accepted without a record.
test("a job is accepted once its record is stored", async (t) => {
  const { api, keys } = createEntryApi({});
  t.equal((await api.answer(createRequest("POST"))).status, 200);
  t.equal((await api.answer(createRequest("POST"))).status, 200);
  t.same(keys, [jobKey(ID)]);
});

// Guards against jobs that are refused for good because the store is away for
// longer than the caller's attempts last.
test("a submission waits for a store that is away for a second", async (t) => {
  const { api, keys, now } = createEntryApi({
    storeFails: true,
    storeReturnsAt: 1000,
    forward: () => answered(503),
  });
  t.equal((await api.answer(createRequest("POST"))).status, 200);
  t.same(keys, [jobKey(ID)]);
  t.ok(now() < 1200, "it is stored as soon as the store answers");
});

// Guards against a caller that is held until its own timeout, and against a
// refusal after something was sent to the store.
test("a submission is refused while the caller still listens", async (t) => {
  const { api, keys, now } = createEntryApi({ storeFails: true });
  const answer = await api.answer(createRequest("POST"));
  t.equal(answer.status, 503);
  t.equal(answer.headers?.["retry-after"], "1");
  t.same(keys, []);
  t.ok(now() <= 1600, "half of the caller's timeout is left");
});

// Guards against a refusal of a write that may still take effect.
test("a write that the store left unanswered is not refused", async (t) => {
  for (const status of [401, 404, 503]) {
    const { api } = createEntryApi({
      commits: [unknown, refused, refused],
      forward: () => answered(status),
    });
    const answer = await api.answer(createRequest("POST"));
    t.equal(answer.status, 504, `another entry answers ${status}`);
  }
  const { api } = createEntryApi({
    commits: [unknown, unknown, unknown],
    forward: () => answered(200),
  });
  t.equal((await api.answer(createRequest("POST"))).status, 200);
});

// Guards against a caller that waits for a store that does not answer.
test("nothing is sent to a store that does not answer", async (t) => {
  const { api, keys, reads } = createEntryApi({ storeFails: true });
  const answer = await api.answer(createRequest("POST"));
  t.match(answer, { status: 503, headers: { "retry-after": "1" } });
  t.equal((await api.answer(createRequest("GET"))).status, 503);
  t.same(keys, []);
  t.equal(reads(), 0);
});

// Guards against an outage while other entries still reach the store.
test("another entry answers if this one can't reach the store", async (t) => {
  const { api } = createEntryApi({
    storeFails: true,
    forward: () => answered(200),
  });
  t.equal((await api.answer(createRequest("POST"))).status, 200);
});

// Guards against a key or a queue that is refused since the entry does not know
// the configuration in force, and against one that was withdrawn and is accepted.
test("an unconfirmed configuration decides on requests", async (t) => {
  const confirmed = false;
  for (const status of [200, 401, 404]) {
    const { api } = createEntryApi({
      confirmed,
      forward: () => answered(status),
    });
    const answer = await api.answer(createRequest("POST"));
    t.equal(answer.status, status, "a peer with the newest one decides");
  }
  const requests = [
    createRequest("POST"),
    createRequest("GET"),
    createRequest("GET", "/plans/"),
    createRequest("GET", "/none/"),
    createRequest("GET", "/plans/", "other"),
  ];
  const { api, keys } = createEntryApi({ confirmed });
  for (const request of requests) {
    t.match(api.admit(request), { kind: "admitted" });
    t.match(await api.answer(request), {
      status: 503,
      headers: { "retry-after": "1" },
    });
  }
  t.same(keys, []);
});

// Guards against callers that learn nothing while the store is away for all
// entries, so that nobody can change or confirm the configuration.
test("states are hidden while the store is away", async (t) => {
  const outage = { confirmed: false, storeFails: true };
  const ask = async (request: HttpRequest, newestUsed = 1) => {
    const { api } = createEntryApi({ ...outage, newestUsed });
    return (await api.answer(request)).status;
  };
  t.equal(await ask(createRequest("GET", "/plans/")), 200);
  t.equal(await ask(createRequest("GET", "/plans/", "other")), 503);
  t.equal(await ask(createRequest("GET", "/none/")), 503);
  t.equal(await ask(createRequest("POST")), 503);
  // A caller was answered by a newer configuration, at another entry.
  t.equal(await ask(createRequest("GET", "/plans/"), 2), 503);
});

// Guards against a refusal of a job that another entry may have accepted.
test("a request that a peer may have run is answered with 504", async (t) => {
  const { api } = createEntryApi({
    storeFails: true,
    forward: () => ({ kind: "unknown" }),
  });
  t.equal((await api.answer(createRequest("POST"))).status, 504);
});

// Guards against a stored job that is reported as unknown to its caller.
test("a job is unknown only if the store does not hold it", async (t) => {
  const { api, reads } = createEntryApi({});
  t.equal((await api.answer(createRequest("GET"))).status, 410);
  t.equal(reads(), 1);
});

// Guards against a caller that is not told why its job failed.
test("the state of a failed job says why", async (t) => {
  const { api, replica } = createEntryApi({});
  const failure = {
    code: FailureCode.WorkerCrashes,
    task: `${ID}.0.0.0`,
    count: 2,
  };
  const progress = { ...createProgress(), status: JobStatus.Failed, failure };
  const records: [string, Uint8Array][] = [
    [jobKey(ID), STORED_REQUEST],
    [progressKey(ID), encode(packProgress(progress))],
  ];
  replica.apply(
    records.map(([key, value]) => ({
      kind: "put",
      item: { key, value, revision: 6 },
    })),
  );
  const { body } = await api.answer(createRequest("GET"));
  const shown = JSON.parse(String(body));
  t.equal(shown.state, "failed");
  t.match(shown.failure, failure);
  t.match(shown.failure.hint, /Workers crashed/);
});

// Guards against a job that keeps running after its cancel was confirmed.
test("a cancel is confirmed once it is stored", async (t) => {
  const { api, keys, replica } = createEntryApi({});
  await api.answer(createRequest("POST"));
  t.equal((await api.answer(createRequest("DELETE"))).status, 200);
  t.same(keys, [jobKey(ID), cancelKey(ID)]);
  t.equal(replica.status(ID), JobStatus.Cancelled);
});

// Guards against a job that runs after its caller was told it doesn't exist.
test("a cancel also applies to a submission stored after it", async (t) => {
  const { api, keys, replica } = createEntryApi({});
  t.equal((await api.answer(createRequest("DELETE"))).status, 410);
  t.same(keys, [cancelKey(ID)]);
  replica.apply(
    [cancelKey(ID), jobKey(ID)].map((key, index) => ({
      kind: "put",
      item: { key, value: STORED_REQUEST, revision: 6 + index },
    })),
  );
  t.equal(replica.status(ID), JobStatus.Cancelled);
});

// Guards against "no such job" for a job that may still run.
test("a cancel of an unknown job follows the store's outcome", async (t) => {
  const item = { key: jobKey(ID), value: STORED_REQUEST, revision: 6 };
  const conflict = { kind: "conflict", items: new Map([[item.key, item]]) };
  for (
    const [commits, status] of [
      [[unknown], 504],
      [[refused], 503],
      [[conflict as CommitOutcome], 200],
    ] as const
  ) {
    const { api } = createEntryApi({ commits: [...commits] });
    t.equal((await api.answer(createRequest("DELETE"))).status, status);
  }
});

// Guards against requests without a valid key, and paths without a queue.
test("a request needs a queue's path and a team's key", async (t) => {
  const { api } = createEntryApi({});
  t.equal(
    (await api.answer(createRequest("POST", undefined, "other"))).status,
    401,
  );
  t.equal((await api.answer(createRequest("GET", "/none/"))).status, 404);
  t.match(await api.answer(createRequest("GET", "/plans/")), {
    status: 200,
    body: '{"pending":0}',
  });
  await api.answer(createRequest("POST"));
  t.match(await api.answer(createRequest("GET", "/plans/")), {
    body: '{"pending":1}',
  });
});

// Guards against a removed job that is shown as queued, since the store's answer
// to a read of it is older than the removal that the watch has brought.
test("a job that is removed while it is read is gone", async (t) => {
  const key = jobKey(ID);
  const item = { key, value: STORED_REQUEST, revision: 5 };
  const { api, replica } = createEntryApi({ item });
  t.equal((await api.answer(createRequest("GET"))).status, 200);
  replica.apply([{ kind: "deleted", key, revision: 9 }]);
  t.equal((await api.answer(createRequest("GET"))).status, 410);
});
