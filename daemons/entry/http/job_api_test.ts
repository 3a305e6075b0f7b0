import { test } from "tap";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type {
  Configuration,
  EntryEvent,
  SubmissionAnswer,
} from "@dragonflyledge/model";
import { createJobApi } from "./job_api.ts";

const TOKEN = "token-of-lab";

const configuration: Configuration = {
  version: 1,
  services: [],
  teams: [{
    name: "lab",
    tokenDigests: [createHash("sha256").update(TOKEN).digest("hex")],
    guarantees: [],
    acceleratorQuota: 8,
    weight: 1,
  }],
  classes: [],
};

async function submit(result: SubmissionAnswer) {
  const events: EntryEvent[] = [];
  const api = createJobApi({
    clock: { now: () => 5, date: () => new Date(0) },
    configuration: () => configuration,
    isOperator: () => false,
    createId: () => "job-1",
    lookup: {
      find: () => Promise.resolve(undefined),
      list: () => Promise.resolve([]),
    },
    dispatch: (event) => events.push(event),
  });
  const body = JSON.stringify({
    class: "batch",
    members: 1,
    perMember: { accelerators: 1, cores: 1, memoryMiB: 1 },
    command: "run",
  });
  const route = api.routes.find((one) => one.method === "POST")!;
  const answer = route.handler({
    method: "POST",
    path: "/v1/jobs",
    headers: { authorization: `Bearer ${TOKEN}` },
    body: Buffer.from(body),
  } as never, "" as never);
  api.answerSubmission("job-1", result);
  const { status, headers, body: text } = await answer;
  return { status, headers, body: JSON.parse(String(Buffer.from(text))) };
}

// Guards against a caller who regards a submission with an unknown outcome as
// refused and submits a second job, and against one who does not get the ID of
// the first.
test("each result of a submission has its status and outcome", async (t) => {
  const accepted = await submit({ kind: "accepted" });
  t.match(accepted, { status: 202, body: { id: "job-1" } });
  const reason = "store-unavailable";
  const refused = await submit({ kind: "not-run", reason });
  t.match(refused, {
    status: 503,
    headers: { "x-outcome": "not-run" },
    body: { outcome: "not-run", reason },
  });
  const open = await submit({ kind: "unknown", reason });
  t.match(open, {
    status: 502,
    headers: { "x-outcome": "unknown" },
    body: {
      outcome: "unknown",
      reason,
      id: "job-1",
      hint: /\/v1\/jobs\/job-1/,
    },
  });
});
