import { Buffer } from "node:buffer";
import { encode } from "cbor-x";
import fc from "fast-check";
import { test } from "tap";
import {
  cancelKey,
  jobKey,
  JobStatus,
  progressKey,
} from "@dragonflyledge/scheduler";
import { createReplica } from "./replica.ts";

const ID = "5c0e7a21d94b36f8";
const request = {
  id: ID,
  queue: "queue",
  steps: [{ count: 1 }],
  policy: { service: "service", priority: 0, maxAttempts: 2 },
};

function put(key: string, value: Uint8Array, revision = 1) {
  return { kind: "put" as const, item: { key, value, revision } };
}

// Guards against a record of another writer that ends each leader that reads it.
test("records that can't be decoded are reported and left out", (t) => {
  const bad: string[] = [];
  const replica = createReplica({ onBadItem: (key) => bad.push(key) });
  const values = fc.oneof(
    fc.uint8Array(),
    fc.anything().map((value) => encode(value)),
  );
  fc.assert(
    fc.property(values, (value) => {
      bad.length = 0;
      replica.apply([put(jobKey(ID), value)]);
      replica.apply([put(progressKey(ID), value)]);
      return replica.status(ID) === undefined && bad.length === 2;
    }),
    {
      examples: [[encode([0, {}, 0, []])], [encode(["", 0, 0, [[0, [[1]]]]])]],
    },
  );
  t.end();
});

// Guards against callers who are told that a job runs, or does not wait any
// more, though it was only placed on a worker that may be gone.
test("a job that was placed but has not begun is pending", (t) => {
  const replica = createReplica({ onBadItem: () => {} });
  replica.apply([put(jobKey(ID), encode(request))]);
  const task = [1, 1, "agent", "worker", "", 0];
  const store = (begun?: boolean) => {
    const row = ["running", 0, 1, [[0, [[task]]]], undefined, begun];
    replica.apply([put(progressKey(ID), encode(row))]);
  };
  t.equal(replica.countPending("queue"), 1);
  store(false);
  t.equal(replica.countPending("queue"), 1);
  t.equal(replica.status(ID), JobStatus.Queued);
  store(true);
  t.equal(replica.countPending("queue"), 0);
  t.equal(replica.status(ID), JobStatus.Running);
  store();
  t.equal(replica.countPending("queue"), 0, "a record of an older build");
  t.end();
});

// Guards against a bad record that hides the sound ones beside it.
test("records beside a bad one are kept", (t) => {
  const replica = createReplica({ onBadItem: () => {} });
  replica.apply([
    put(jobKey("other"), Buffer.from("text")),
    put(jobKey(ID), encode(request)),
  ]);
  t.equal(replica.status(ID), JobStatus.Queued);
  t.end();
});

const jobItem = (revision: number) => ({
  key: jobKey(ID),
  value: encode(request),
  revision,
});
const cancelItem = (revision: number) => ({
  key: cancelKey(ID),
  value: new Uint8Array(),
  revision,
});

// Guards against a job that is shown as queued for good, since the answer to a
// read of it arrives after the watch has brought its removal.
test("a read that a removal has overtaken adds no job", (t) => {
  const replica = createReplica({ onBadItem: () => {} });
  replica.apply([{ kind: "put", item: jobItem(5) }]);
  replica.apply([{ kind: "deleted", key: jobKey(ID), revision: 9 }]);
  t.notOk(replica.learn(jobItem(5)));
  t.equal(replica.status(ID), undefined);
  t.equal(replica.countPending("queue"), 0);
  t.ok(replica.learn(jobItem(10)), "a later submission counts");
  t.equal(replica.status(ID), JobStatus.Queued);
  t.end();
});

// Guards against the progress of a removed job, which is never removed again.
test("progress of a removed job is not kept", (t) => {
  const replica = createReplica({ onBadItem: () => {} });
  const row = ["running", 0, 1, [[0, [[[1, 1, "a", "w", "", 0]]]]]];
  const item = { key: progressKey(ID), value: encode(row), revision: 7 };
  t.notOk(replica.learn(item));
  t.equal(replica.jobs.size, 0);
  t.end();
});

// Guards against a caller whose job was accepted or cancelled and who is then
// shown the state of before, from a list that was read while the write ran.
test("a list takes back no later submission or cancel", (t) => {
  const replica = createReplica({ onBadItem: () => {} });
  replica.learn(jobItem(8));
  replica.replace([], 7);
  t.equal(replica.status(ID), JobStatus.Queued);
  replica.learn(cancelItem(10));
  replica.replace([jobItem(8)], 9);
  t.equal(replica.status(ID), JobStatus.Cancelled);
  replica.replace([jobItem(8)], 11);
  t.equal(replica.status(ID), JobStatus.Queued, "the cancel was removed");
  replica.replace([], 12);
  t.equal(replica.status(ID), undefined, "the job was removed");
  t.end();
});
