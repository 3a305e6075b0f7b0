/**
 * Claims of idempotency keys in the store, with the outcomes of their requests.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Claim,
  CLAIM_RETENTION,
  type ClaimResult,
  type Clock,
  ErrorCode,
  HOUR,
  type Milliseconds,
  OutcomeKind,
  type StepError,
  STORE_VALUE_LIMIT,
} from "@dragonflyledge/model";
import { decodeClaim, encodeClaim, malformedClaim } from "./claim_codec.ts";
import { type LeaseId, MAX_WRITES_PER_CALL, type Store } from "./store.ts";
import type {
  StoredValue,
  ValueWrite,
  ValueWriter,
  ValueWriteResult,
} from "./value_writer.ts";

/** Result of storing the outcome of a claimed request. */
export type Settlement =
  /** The outcome is stored. */
  | "settled"
  /** The claim in the store belongs to another request. */
  | "conflict"
  /** The outcome exceeds the size limit; the claim stays without an outcome. */
  | "too-large";

/**
 * Claims of idempotency keys in the store. Errors are those of the store. A
 * write whose answer was lost is repeated for up to `timeout`.
 */
export interface Claims {
  /**
   * Creates the claims in as few calls as the size limits allow, and returns a
   * result for each. An existing claim with the same fingerprint whose request
   * did not run is replaced, which takes another call. After an error, the
   * caller must not assume that any claim was created.
   */
  claim(
    claims: Claim[],
    timeout?: Milliseconds,
  ): Promise<Result<ClaimResult[], StepError>>;
  /** Stores the outcomes of claimed requests, and returns a result for each. */
  settle(
    claims: Claim[],
    timeout?: Milliseconds,
  ): Promise<Result<Settlement[], StepError>>;
  /** Reads the claim of a team's key; undefined if there is none. */
  read(
    team: string,
    key: string,
  ): Promise<Result<Claim | undefined, StepError>>;
}

/**
 * Maximum number of attempts to replace a claim. After each failed one, another
 * request had claimed the key and did not run either. After the last, this
 * request gets the refusal of that one.
 */
const maxReplaceRounds = 3;

/**
 * Maximum number of claims whose revisions are kept, so that their outcomes can
 * be stored without a read.
 */
const maxKnownRevisions = 10_000;

/**
 * Creates the access to claims. Claims expire with leases: each process creates
 * one lease of 25 hours per hour and attaches all claims of that hour to it.
 * This takes one call an hour, and the store deletes expired claims by itself.
 */
export function createClaims(
  { store, writer, prefix, clock }: {
    store: Store;
    writer: ValueWriter;
    prefix: string;
    clock: Clock;
  },
): Claims {
  const revisions = new Map<string, number>();
  let hour = -1;
  let lease: Promise<Result<LeaseId, StepError>> | undefined;

  const keyOf = (team: string, key: string) =>
    `${prefix}claims/${encodeURIComponent(team)}/${encodeURIComponent(key)}`;

  /** Returns the lease of the current hour, created once for all callers. */
  async function getHourlyLease(): Promise<Result<LeaseId, StepError>> {
    const now = Math.floor(clock.now() / HOUR);
    if (lease === undefined || hour !== now) {
      hour = now;
      lease = store.grantLease(CLAIM_RETENTION + HOUR);
    }
    const used = lease;
    const granted = await used;
    if (granted.isErr() && lease === used) lease = undefined;
    return granted;
  }

  /**
   * Writes with the lease of the hour; if it is gone, retries with a new one.
   */
  async function write(
    writes: ValueWrite[],
    timeout: Milliseconds | undefined,
    mayRetry = true,
  ): Promise<Result<ValueWriteResult[], StepError>> {
    const granted = await getHourlyLease();
    if (granted.isErr()) return err(granted.error);
    const leased = writes.map((w) => ({ ...w, lease: granted.value }));
    const result = await writer.write(leased, timeout);
    const refused = result.isErr() &&
      result.error.code === ErrorCode.StoreAnswer;
    if (!refused || !mayRetry) return result;
    lease = undefined;
    return write(writes, timeout, false);
  }

  /** Writes in as few calls as possible, and keeps the new revisions. */
  async function writeAll(
    writes: ValueWrite[],
    timeout: Milliseconds | undefined,
  ): Promise<Result<ValueWriteResult[], StepError>> {
    const results: ValueWriteResult[] = [];
    for (const batch of splitWrites(writes, writer.sizeOf)) {
      const written = await write(batch, timeout);
      if (written.isErr()) return err(written.error);
      results.push(...written.value);
      written.value.forEach((result, index) => {
        if (result.kind === "stored") {
          rememberRevision(batch[index]!.key, result.revision);
        }
      });
    }
    return ok(results);
  }

  function rememberRevision(key: string, revision: number): void {
    revisions.delete(key);
    revisions.set(key, revision);
    if (revisions.size > maxKnownRevisions) {
      revisions.delete(revisions.keys().next().value!);
    }
  }

  async function claim(
    claims: Claim[],
    timeout?: Milliseconds,
  ): Promise<Result<ClaimResult[], StepError>> {
    // If a key occurs twice in one batch, the first claim gets it.
    const firsts = new Map<string, Claim>();
    for (const claim of claims) {
      const key = keyOf(claim.team, claim.key);
      if (!firsts.has(key)) firsts.set(key, claim);
    }
    const keys = [...firsts.keys()];
    const writes = keys.map((key) => ({
      key,
      value: encodeClaim(firsts.get(key)!),
      revision: 0,
    }));
    const written = await writeAll(writes, timeout);
    if (written.isErr()) return err(written.error);
    const results = new Map(written.value.map((r, index) => [keys[index]!, r]));
    const replaced = await replaceRefused(firsts, results, timeout);
    if (replaced.isErr()) return err(replaced.error);
    return collectResults(claims.map((claim) => {
      const key = keyOf(claim.team, claim.key);
      const first = firsts.get(key)!;
      return interpretClaim(results.get(key)!, claim, first);
    }));
  }

  /** Replaces claims whose requests did not run, and updates the results. */
  async function replaceRefused(
    claims: Map<string, Claim>,
    results: Map<string, ValueWriteResult>,
    timeout: Milliseconds | undefined,
  ): Promise<Result<void, StepError>> {
    for (let round = 0; round < maxReplaceRounds; round++) {
      const writes = [...results].flatMap(([key, result]): ValueWrite[] => {
        const claim = claims.get(key)!;
        if (result.kind === "stored" || !result.current) return [];
        if (!isReplaceable(result.current, claim)) return [];
        const { revision } = result.current;
        return [{ key, value: encodeClaim(claim), revision }];
      });
      if (writes.length === 0) return ok(undefined);
      const written = await writeAll(writes, timeout);
      if (written.isErr()) return err(written.error);
      written.value.forEach((result, index) => {
        results.set(writes[index]!.key, result);
      });
    }
    return ok(undefined);
  }

  async function settle(
    claims: Claim[],
    timeout?: Milliseconds,
  ): Promise<Result<Settlement[], StepError>> {
    const settlements = new Map<string, Settlement>();
    const open = new Map<string, Claim>();
    for (const claim of claims) {
      const key = keyOf(claim.team, claim.key);
      const fits = writer.sizeOf(encodeClaim(claim)) <= STORE_VALUE_LIMIT;
      if (fits) open.set(key, claim);
      else settlements.set(key, "too-large");
    }
    // Each further round uses the revisions that the one before has read.
    for (let round = 0; round < 3 && open.size > 0; round++) {
      const writes = [...open].map(([key, claim]) => ({
        key,
        value: encodeClaim(claim),
        revision: revisions.get(key) ?? 0,
      }));
      const written = await writeAll(writes, timeout);
      if (written.isErr()) return err(written.error);
      written.value.forEach((result, index) => {
        const { key } = writes[index]!;
        const settlement = interpretSettlement(result, open.get(key)!, key);
        if (!settlement) return;
        settlements.set(key, settlement);
        open.delete(key);
      });
    }
    return ok(
      claims.map(({ team, key }) =>
        settlements.get(keyOf(team, key)) ?? "conflict"
      ),
    );
  }

  /** Returns the result of one write; undefined if it must be tried again. */
  function interpretSettlement(
    result: ValueWriteResult,
    claim: Claim,
    key: string,
  ): Settlement | undefined {
    if (result.kind === "stored") return "settled";
    revisions.delete(key);
    // The claim has expired, so the next round creates it again.
    if (!result.current) return undefined;
    const current = decodeClaim(result.current);
    if (current.isErr() || current.value.request !== claim.request) {
      return "conflict";
    }
    if (current.value.outcome) return "settled";
    rememberRevision(key, result.current.revision);
    return undefined;
  }

  return {
    claim,
    settle,
    read: async (team, key) =>
      (await writer.read(keyOf(team, key))).andThen((stored) =>
        stored ? decodeClaim(stored) : ok(undefined)
      ),
  };
}

/**
 * Whether the stored claim is for the same work, and its request did not run.
 */
function isReplaceable(current: StoredValue, claim: Claim): boolean {
  const existing = decodeClaim(current).unwrapOr(undefined);
  return existing?.outcome?.kind === OutcomeKind.NotRun &&
    existing.request !== claim.request &&
    existing.fingerprint === claim.fingerprint;
}

function interpretClaim(
  result: ValueWriteResult,
  claim: Claim,
  first: Claim,
): Result<ClaimResult, StepError> {
  if (result.kind === "stored") {
    return ok(
      claim === first
        ? { kind: "created" }
        : { kind: "existing", claim: first },
    );
  }
  if (!result.current) {
    // The write required that the key is absent, so a conflict has a value.
    return err(malformedClaim(claim.key, "the conflict has no current claim"));
  }
  return decodeClaim(result.current).map((existing): ClaimResult => {
    // A batch that was sent again conflicts with its own claims.
    const own = existing.request === claim.request &&
      existing.entry === claim.entry &&
      existing.incarnation === claim.incarnation && !existing.outcome;
    return own ? { kind: "created" } : { kind: "existing", claim: existing };
  });
}

/** Splits writes into batches within the limits on count and size of a call. */
function splitWrites(
  writes: ValueWrite[],
  sizeOf: (value: unknown) => number,
): ValueWrite[][] {
  const batches: ValueWrite[][] = [];
  let size = Infinity;
  for (const write of writes) {
    const added = sizeOf(write.value);
    const batch = batches.at(-1);
    if (
      !batch || batch.length === MAX_WRITES_PER_CALL ||
      size + added > STORE_VALUE_LIMIT
    ) {
      batches.push([write]);
      size = added;
    } else {
      batch.push(write);
      size += added;
    }
  }
  return batches;
}

/** Returns all values, or the first error. */
function collectResults<T>(
  results: Result<T, StepError>[],
): Result<T[], StepError> {
  const failed = results.find((result) => result.isErr());
  if (failed?.isErr()) return err(failed.error);
  return ok(results.flatMap((result) => result.isOk() ? [result.value] : []));
}
