/**
 * HTTP routes with which callers submit, read, list and cancel gang jobs.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { z } from "zod";
import {
  Adjacency,
  MAX_GANG_MEMBERS,
  OutcomeKind,
} from "@dragonflyledge/model";
import type {
  Clock,
  Configuration,
  EntryEvent,
  JobId,
  JobRecord,
  JobSpec,
  SubmissionAnswer,
  TeamName,
} from "@dragonflyledge/model";
import { findTeam } from "./authentication.ts";
import { refusalStatus, UNKNOWN_STATUS } from "./outcome_answer.ts";
import { json, problem } from "./server.ts";
import type { HttpAnswer, HttpRequest, Route } from "./server.ts";

/** A job as it is shown to callers. */
export interface JobView {
  record: JobRecord;
  /** Reason why the job waits, or an empty string. */
  why: string;
}

/** Looks up jobs of all entries. */
export interface JobLookup {
  /** Returns one job; undefined if it is not known. */
  find(job: JobId): Promise<JobView | undefined>;
  /** Lists the jobs of a team, or of all teams if `team` is undefined. */
  list(team: TeamName | undefined): Promise<JobView[]>;
}

/** Routes for jobs, and the callers that wait for answers to submissions. */
export interface JobApi {
  readonly routes: Route[];
  /** Answers the caller who submitted the job. */
  answerSubmission(job: JobId, result: SubmissionAnswer): void;
  /** Returns the number of callers that wait for an answer. */
  waiting(): number;
}

const submission = z.strictObject({
  class: z.string().min(1),
  members: z.int().min(1).max(MAX_GANG_MEMBERS),
  perMember: z.strictObject({
    accelerators: z.int().min(0).max(64),
    cores: z.number().min(0),
    memoryMiB: z.number().min(0),
  }),
  adjacency: z.enum(Adjacency).default(Adjacency.Any),
  revocable: z.boolean().default(false),
  idempotent: z.boolean().default(false),
  declaredRunTime: z.number().min(0).default(0),
  command: z.string().max(4096),
});

/** Creates the routes for jobs. */
export function createJobApi(fields: {
  clock: Clock;
  configuration: () => Configuration | undefined;
  /** Whether the request carries an operator's token. */
  isOperator: (request: HttpRequest) => boolean;
  createId: () => string;
  lookup: JobLookup;
  dispatch: (event: EntryEvent) => void;
}): JobApi {
  const { clock, dispatch, lookup } = fields;
  const waiting = new Map<JobId, (result: SubmissionAnswer) => void>();

  /**
   * Returns the team whose jobs the caller may see, which is undefined for an
   * operator, who may see all, or the answer that refuses the request.
   */
  function authorize(
    request: HttpRequest,
  ): { team: TeamName | undefined } | HttpAnswer {
    if (fields.isOperator(request)) return { team: undefined };
    const header = request.headers.authorization;
    const team = findTeam({ header, configuration: fields.configuration() });
    if (team !== undefined) return { team };
    return problem(401, "the bearer token is unknown");
  }

  async function submit(request: HttpRequest): Promise<HttpAnswer> {
    const header = request.headers.authorization;
    const team = findTeam({ header, configuration: fields.configuration() });
    if (team === undefined) return problem(401, "the bearer token is unknown");
    const parsed = parseSubmission(request.body, team);
    if (typeof parsed === "string") return problem(400, parsed);
    const job = fields.createId();
    const result = await new Promise<SubmissionAnswer>((resolve) => {
      waiting.set(job, resolve);
      const submitted = clock.date().toISOString();
      const now = clock.now();
      dispatch({ kind: "jobSubmitted", now, job, spec: parsed, submitted });
    });
    if (result.kind === "accepted") {
      return json(202, { id: job, state: "accepted" });
    }
    return refusalAnswer(job, result);
  }

  /** Finds a job that the caller may see, or returns the refusal. */
  async function findVisible(
    request: HttpRequest,
    job: JobId,
  ): Promise<JobView | HttpAnswer> {
    const caller = authorize(request);
    if ("status" in caller) return caller;
    const view = await lookup.find(job);
    const visible = caller.team === undefined ||
      view?.record.spec.team === caller.team;
    if (view && visible) return view;
    return problem(404, `there is no job ${job}`);
  }

  async function read(request: HttpRequest, job: JobId): Promise<HttpAnswer> {
    const view = await findVisible(request, job);
    return "status" in view ? view : json(200, describe(view));
  }

  async function list(request: HttpRequest): Promise<HttpAnswer> {
    const caller = authorize(request);
    if ("status" in caller) return caller;
    const views = await lookup.list(caller.team);
    return json(200, { jobs: views.map(describe) });
  }

  async function cancel(request: HttpRequest, job: JobId): Promise<HttpAnswer> {
    const view = await findVisible(request, job);
    if ("status" in view) return view;
    dispatch({ kind: "jobCancelled", now: clock.now(), job });
    return json(202, { id: job, state: "cancelling" });
  }

  function answerSubmission(job: JobId, result: SubmissionAnswer): void {
    const resolve = waiting.get(job);
    waiting.delete(job);
    resolve?.(result);
  }

  const routes: Route[] = [
    { method: "POST", pattern: "/v1/jobs", handler: submit },
    { method: "GET", pattern: "/v1/jobs", handler: list },
    { method: "GET", pattern: "/v1/jobs/:id", handler: read },
    { method: "DELETE", pattern: "/v1/jobs/:id", handler: cancel },
  ];
  return { routes, answerSubmission, waiting: () => waiting.size };
}

/**
 * Returns the answer to a submission that was not accepted. The outcome is
 * `not-run` only if the submission certainly has no effect.
 */
function refusalAnswer(
  job: JobId,
  { kind, reason }: Exclude<SubmissionAnswer, { kind: "accepted" }>,
): HttpAnswer {
  const headers = { "x-outcome": kind };
  if (kind === OutcomeKind.NotRun) {
    return json(refusalStatus(reason), { outcome: kind, reason }, headers);
  }
  const hint =
    `The job may exist: check GET /v1/jobs/${job} before you submit it again.`;
  return json(
    UNKNOWN_STATUS,
    { outcome: kind, reason, id: job, hint },
    headers,
  );
}

/** Returns the job, or a message that says what is wrong with the body. */
function parseSubmission(body: Uint8Array, team: TeamName): JobSpec | string {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return "the body is not JSON";
  }
  const checked = submission.safeParse(value);
  if (checked.success) return { team, ...checked.data };
  return checked.error.issues
    .map((issue) => `${issue.path.join(".") || "body"}: ${issue.message}`)
    .join("; ");
}

function describe(view: JobView): Record<string, unknown> {
  const { record, why } = view;
  return {
    id: record.id,
    team: record.spec.team,
    state: record.state,
    submitted: record.submitted,
    epoch: record.epoch,
    owner: record.owner,
    failedOn: record.failedOn,
    reason: record.reason ?? "",
    why,
    spec: record.spec,
  };
}
