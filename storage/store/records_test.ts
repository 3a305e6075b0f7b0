import { test } from "tap";
import {
  type Claim,
  type Configuration,
  createRandom,
  HOUR,
  type JobRecord,
} from "@dragonflyledge/model";
import { createManualClock, createMemoryStore } from "@dragonflyledge/fakes";
import { createClaims } from "./claims.ts";
import { createConfigurationRecords } from "./configuration_records.ts";
import { createHomesRecords } from "./homes_records.ts";
import { createJobRecords } from "./job_records.ts";
import { createValueWriter } from "./value_writer.ts";

const prefix = "/dragonflyledge/";

function start() {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  const createWriter = (identity: string) =>
    createValueWriter({
      store,
      clock,
      timer: clock,
      random: createRandom(1),
      identity,
    });
  const createEntryClaims = (identity: string) =>
    createClaims({ store, writer: createWriter(identity), prefix, clock });
  return { clock, store, createWriter, createEntryClaims };
}

const claimOf = (key: string, request = `r-${key}`, entry = "e1"): Claim => ({
  team: "quality lab",
  key,
  fingerprint: "f",
  request,
  entry,
  incarnation: 1,
  created: "2026-01-01T00:00:00.000Z",
});

// Guards against one call for each claim of a batch, and against two requests
// of one batch that both get the same key.
test("many claims are created in one call", async (t) => {
  const { store, createEntryClaims } = start();
  const claims = createEntryClaims("e1.1");
  const batch = Array.from({ length: 100 }, (_, n) => claimOf(`k${n}`));
  const twice = claimOf("k0", "r-other");
  const results = (await claims.claim([...batch, twice]))._unsafeUnwrap();
  t.equal(results.filter((r) => r.kind === "created").length, 100);
  t.match(results[100], { kind: "existing", claim: { request: "r-k0" } });
  t.same(store.calls.map((call) => call.kind), ["grant", "write"]);
});

// Guards against two entries that both run the request of one key.
test("of two entries one creates the claim, the other sees it", async (t) => {
  const { createEntryClaims } = start();
  const [one, two] = [createEntryClaims("e1.1"), createEntryClaims("e2.1")];
  const race = await Promise.all([
    one.claim([claimOf("k", "r1", "e1")]),
    two.claim([claimOf("k", "r2", "e2")]),
  ]);
  const results = race.map((result) => result._unsafeUnwrap()[0]!);
  t.same(results.map((r) => r.kind).sort(), ["created", "existing"]);
  const winner = results[0]!.kind === "created" ? "r1" : "r2";
  const loser = results.find((r) => r.kind === "existing");
  t.match(loser, { claim: { request: winner } });
});

// Guards against an outcome that loses bytes, needs a read before it is stored,
// or is overwritten by another request.
test("an outcome is stored in one call and read through any entry", async (t) => {
  const { store, createEntryClaims } = start();
  const [one, two] = [createEntryClaims("e1.1"), createEntryClaims("e2.1")];
  await one.claim([claimOf("k")]);
  const before = store.calls.length;
  const body = new Uint8Array([0, 255, 128, 10]);
  const answer = { status: 200, contentType: "text/plain", body };
  const settled: Claim = { ...claimOf("k"), outcome: { kind: "done", answer } };
  t.same((await one.settle([settled]))._unsafeUnwrap(), ["settled"]);
  t.equal(store.calls.length - before, 1);
  t.same((await two.read("quality lab", "k"))._unsafeUnwrap(), settled);
  t.same((await two.settle([settled]))._unsafeUnwrap(), ["settled"]);
  const other = { ...settled, request: "r-other" };
  t.same((await two.settle([other]))._unsafeUnwrap(), ["conflict"]);
  const repeat = (await two.claim([claimOf("k", "r-new")]))._unsafeUnwrap();
  t.same(repeat, [{ kind: "existing", claim: settled }]);
});

const refused = (claim: Claim): Claim => ({
  ...claim,
  outcome: { kind: "not-run", reason: "queue-full" },
});

// Guards against a retry that gets the refusal of the first request for 24
// hours, and against a refused claim that is replaced by one for other work.
test("a claim whose request did not run is replaced", async (t) => {
  const { store, createEntryClaims } = start();
  const [one, two] = [createEntryClaims("e1.1"), createEntryClaims("e2.1")];
  const first = claimOf("k", "r1", "e1");
  await one.claim([first]);
  await one.settle([refused(first)]);
  const other = { ...claimOf("k", "r2", "e2"), fingerprint: "other" };
  t.match((await two.claim([other]))._unsafeUnwrap(), [
    { kind: "existing", claim: { request: "r1" } },
  ]);
  const before = store.calls.length;
  const retry = claimOf("k", "r3", "e2");
  const batch = [retry, claimOf("new", "r4", "e2"), claimOf("k", "r5", "e2")];
  t.match((await two.claim(batch))._unsafeUnwrap(), [
    { kind: "created" },
    { kind: "created" },
    { kind: "existing", claim: { request: "r3" } },
  ]);
  t.equal(
    store.calls.length - before,
    2,
    "the replacement takes one more call",
  );
  t.same((await one.settle([refused(first)]))._unsafeUnwrap(), ["conflict"]);
  const answer = { status: 200, contentType: "", body: new Uint8Array() };
  const done: Claim = { ...retry, outcome: { kind: "done", answer } };
  t.same((await two.settle([done]))._unsafeUnwrap(), ["settled"]);
  t.match((await one.claim([claimOf("k", "r6", "e1")]))._unsafeUnwrap(), [
    { kind: "existing", claim: { request: "r3", outcome: { kind: "done" } } },
  ]);
});

// Guards against two entries that both run the retry of one key.
test("of two entries exactly one replaces a refused claim", async (t) => {
  const { createEntryClaims } = start();
  const [one, two] = [createEntryClaims("e1.1"), createEntryClaims("e2.1")];
  const first = claimOf("k", "r1", "e1");
  await one.claim([first]);
  await one.settle([refused(first)]);
  const race = await Promise.all([
    one.claim([claimOf("k", "r2", "e1")]),
    two.claim([claimOf("k", "r3", "e2")]),
  ]);
  const results = race.map((result) => result._unsafeUnwrap()[0]!);
  t.same(results.map((r) => r.kind).sort(), ["created", "existing"]);
  const winner = results[0]!.kind === "created" ? "r2" : "r3";
  t.match(results.find((r) => r.kind === "existing"), {
    claim: { request: winner, outcome: undefined },
  });
});

// Guards against a replacement that is reported as the claim of another request
// because its answer was lost.
test("a replacement whose answer is lost is created", async (t) => {
  const { clock, store, createEntryClaims } = start();
  const claims = createEntryClaims("e1.1");
  const first = claimOf("k", "r1");
  await claims.claim([first]);
  await claims.settle([refused(first)]);
  const writes = () =>
    store.calls.filter(({ kind }) => kind === "write").length;
  const before = writes();
  const { write } = store;
  store.write = (batch) => {
    // The first write finds the refused claim; the second one replaces it.
    if (batch[0]!.revision > 0 && writes() - before === 1) {
      store.faults.lostAnswers = 1;
    }
    return write(batch);
  };
  const pending = claims.claim([claimOf("k", "r2")]);
  await clock.run(2000);
  t.same((await pending)._unsafeUnwrap(), [{ kind: "created" }]);
  t.equal(writes() - before, 3);
  t.match((await claims.read("quality lab", "k"))._unsafeUnwrap(), {
    request: "r2",
  });
});

// Guards against one outcome over the size limit that keeps the others of its
// batch from being stored.
test("an outcome over the size limit does not affect the others", async (t) => {
  const { createEntryClaims } = start();
  const claims = createEntryClaims("e1.1");
  await claims.claim([claimOf("big"), claimOf("small")]);
  const settle = (key: string, size: number): Claim => {
    const body = new Uint8Array(size);
    const answer = { status: 200, contentType: "text/plain", body };
    return { ...claimOf(key), outcome: { kind: "done", answer } };
  };
  const results = await claims.settle([
    settle("big", 1024 * 1024),
    settle("small", 10),
  ]);
  t.same(results._unsafeUnwrap(), ["too-large", "settled"]);
});

// Guards against claims that are deleted within 24 hours, or never.
test("claims last 24 hours and then expire with few calls", async (t) => {
  const { clock, store, createEntryClaims } = start();
  const claims = createEntryClaims("e1.1");
  await clock.run(HOUR - 1);
  await claims.claim([claimOf("late")]);
  await clock.run(1);
  for (let n = 0; n < 10; n++) await claims.claim([claimOf(`next${n}`)]);
  t.equal(store.calls.filter((call) => call.kind === "grant").length, 2);
  await clock.run(24 * HOUR - 2);
  t.ok((await claims.read("quality lab", "late"))._unsafeUnwrap());
  await clock.run(HOUR + 2);
  t.same((await store.list(prefix))._unsafeUnwrap(), []);
  t.equal((await claims.claim([claimOf("late")])).isOk(), true);
});

// Guards against claims that fail for the rest of the hour after their lease
// was lost.
test("an hourly lease that was lost is replaced", async (t) => {
  const { store, createEntryClaims } = start();
  const claims = createEntryClaims("e1.1");
  await claims.claim([claimOf("a")]);
  const lease = "7587000000000000001";
  t.equal(store.model.hasLease(lease), true);
  store.lapse(lease);
  const result = await claims.claim([claimOf("b")]);
  t.same(result._unsafeUnwrap(), [{ kind: "created" }]);
});

// Guards against a claim that is reported as held by another request because
// the answer to its creation was lost.
test("a claim whose answer is lost is created", async (t) => {
  const { clock, store, createEntryClaims } = start();
  const claims = createEntryClaims("e1.1");
  await claims.claim([claimOf("a")]);
  store.faults.lostAnswers = 1;
  const call = claims.claim([claimOf("b")]);
  await clock.run(100);
  t.same((await call)._unsafeUnwrap(), [{ kind: "created" }]);
});

const jobOf = (id: string, epoch = 1, owner = "e1"): JobRecord => ({
  id,
  spec: {
    team: "t",
    class: "c",
    members: 2,
    perMember: { accelerators: 8, cores: 8, memoryMiB: 1 },
    adjacency: "rack",
    revocable: true,
    idempotent: true,
    declaredRunTime: 1,
    command: "run 1",
  },
  submitted: "2026-01-01T00:00:00.000Z",
  state: "queued",
  epoch,
  owner,
  ownerIncarnation: 1,
  failedOn: [],
  started: false,
});

// Guards against two owners of one job, and against a loser that does not learn
// who the owner is.
test("of two takeovers of a job one wins", async (t) => {
  const { createWriter } = start();
  const [one, two] = ["e1.1", "e2.1"].map((identity) =>
    createJobRecords({ writer: createWriter(identity), prefix })
  );
  const made = await one!.write([{ record: jobOf("j"), revision: 0 }]);
  const [first] = made._unsafeUnwrap();
  if (first?.kind !== "stored") throw new Error("kind");
  const { revision } = first;
  const race = await Promise.all([
    one!.write([{ record: jobOf("j", 2, "e1"), revision }]),
    two!.write([{ record: jobOf("j", 2, "e2"), revision }]),
  ]);
  const [a, b] = race.map((result) => result._unsafeUnwrap()[0]!);
  t.equal(a!.kind, "stored");
  t.match(b, { kind: "conflict", current: { record: { owner: "e1" } } });
  t.match((await two!.read("j"))._unsafeUnwrap(), { record: { epoch: 2 } });
});

// Guards against one malformed record that makes the list of all jobs fail.
test("jobs are listed without malformed records", async (t) => {
  const { createWriter } = start();
  const writer = createWriter("e1.1");
  const reports: string[] = [];
  const onMalformed = (error: { peer: string }) => reports.push(error.peer);
  const jobs = createJobRecords({ writer, prefix, onMalformed });
  const records = ["a", "b"].map((id) => ({ record: jobOf(id), revision: 0 }));
  await jobs.write(records);
  const key = `${prefix}jobs/bad`;
  await writer.write([{ key, value: { id: "bad" }, revision: 0 }]);
  const listed = (await jobs.list())._unsafeUnwrap();
  t.same(listed.map((job) => job.record), [jobOf("a"), jobOf("b")]);
  t.same(reports, [key]);
});

const configurationOf = (version: number, actor: string) => ({
  configuration: {
    version,
    teams: [],
    classes: [],
    services: [],
  } as Configuration,
  actor,
  submitted: "2026-01-01T00:00:00.000Z",
});

// Guards against an operator's change that is lost without an error.
test("of two operators one wins, and the loser learns who it is", async (t) => {
  const { createWriter } = start();
  const [one, two] = ["op1.1", "op2.1"].map((identity) =>
    createConfigurationRecords({ writer: createWriter(identity), prefix })
  );
  const race = await Promise.all([
    one!.submit(configurationOf(1, "op1")),
    two!.submit(configurationOf(1, "op2")),
  ]);
  const results = race.map((result) => result._unsafeUnwrap());
  t.same(results, [
    { kind: "stored" },
    { kind: "conflict", winner: configurationOf(1, "op1") },
  ]);
  const skipped = await two!.submit(configurationOf(3, "op2"));
  t.match(skipped._unsafeUnwrap(), { kind: "conflict", winner: {} });
  await two!.submit(configurationOf(2, "op2"));
  const history = (await one!.history())._unsafeUnwrap();
  t.same(history.map((r) => r.actor), ["op1", "op2"]);
  t.same((await one!.read())._unsafeUnwrap(), configurationOf(2, "op2"));
  t.same((await one!.readVersion(1))._unsafeUnwrap()?.actor, "op1");
});

// Guards against a submission that became current and is reported as a
// conflict, because its answer was lost and a later version replaced it.
test("a submission replaced before its lost answer is resolved counts as stored", async (t) => {
  const { clock, store, createWriter } = start();
  const [one, two] = ["op1.1", "op2.1"].map((identity) =>
    createConfigurationRecords({ writer: createWriter(identity), prefix })
  );
  store.faults.lostAnswers = 1;
  const first = one!.submit(configurationOf(1, "op1"));
  await clock.run(0);
  await two!.submit(configurationOf(2, "op2"));
  await clock.run(100);
  t.same((await first)._unsafeUnwrap(), { kind: "stored" });
  t.match((await one!.read())._unsafeUnwrap(), { actor: "op2" });
});

// Guards against a homes table that returns to an older version, and against
// two tables with the same version.
test("the homes table only moves forward by one version", async (t) => {
  const { createWriter } = start();
  const [one, two] = ["e1.1", "e2.1"].map((identity) =>
    createHomesRecords({ writer: createWriter(identity), prefix })
  );
  const homes = (version: number, configurationVersion = 1) => {
    return { version, configurationVersion, homes: [], unplaced: [] };
  };
  t.equal((await one!.read())._unsafeUnwrap(), undefined);
  const race = await Promise.all([
    one!.write(homes(1, 1)),
    two!.write(homes(1, 2)),
  ]);
  t.same(race.map((result) => result._unsafeUnwrap()), [
    { kind: "stored" },
    { kind: "conflict", current: homes(1, 1) },
  ]);
  t.match((await two!.write(homes(2, 2)))._unsafeUnwrap(), { kind: "stored" });
  t.match((await one!.write(homes(2, 1)))._unsafeUnwrap(), {
    current: homes(2, 2),
  });
  t.match((await one!.write(homes(9)))._unsafeUnwrap(), { kind: "conflict" });
  t.same((await one!.read())._unsafeUnwrap(), homes(2, 2));
});
