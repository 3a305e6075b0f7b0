/**
 * Claims of idempotency keys and the outcomes of their requests.
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

/** What became of an outcome that was to be stored. */
export type Settlement =
  /** The outcome is stored. */
  | "settled"
  /** The claim in the store belongs to another request. */
  | "conflict"
  /** The outcome is over the size limit; the claim stays without one. */
  | "too-large";

/** Claims in the store. */
export interface Claims {
  /**
   * Creates many claims in one call, or as few as the limits allow. A claim of
   * the same work whose request did not run is replaced, with one more call.
   * After an error no claim may be taken as created.
   */
  claim(
    claims: Claim[],
    patience?: Milliseconds,
  ): Promise<Result<ClaimResult[], StepError>>;
  /** Stores the outcomes of claimed requests. */
  settle(
    claims: Claim[],
    patience?: Milliseconds,
  ): Promise<Result<Settlement[], StepError>>;
  read(
    team: string,
    key: string,
  ): Promise<Result<Claim | undefined, StepError>>;
}

/**
 * Each round without success means that another request took the key and was
 * refused meanwhile; its refusal is then as true for this one.
 */
const maxReplaceRounds = 3;

/** Revisions of own claims that are kept to settle them without a read. */
const maxKnownRevisions = 10_000;

/**
 * Returns the claims. Claims expire with leases: each process grants one lease
 * an hour, of 25 hours, and puts all claims of that hour under it. This costs
 * one call an hour, and the store deletes the claims by itself.
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

  /** Lease of the present hour, granted once for concurrent callers. */
  async function leaseOfHour(): Promise<Result<LeaseId, StepError>> {
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

  /** Writes with the lease of the hour, and once more if the lease is gone. */
  async function write(
    writes: ValueWrite[],
    patience: Milliseconds | undefined,
    again = true,
  ): Promise<Result<ValueWriteResult[], StepError>> {
    const granted = await leaseOfHour();
    if (granted.isErr()) return err(granted.error);
    const leased = writes.map((w) => ({ ...w, lease: granted.value }));
    const result = await writer.write(leased, patience);
    const refused = result.isErr() &&
      result.error.code === ErrorCode.StoreAnswer;
    if (!refused || !again) return result;
    lease = undefined;
    return write(writes, patience, false);
  }

  /** Writes in as few calls as possible. */
  async function writeAll(
    writes: ValueWrite[],
    patience: Milliseconds | undefined,
  ): Promise<Result<ValueWriteResult[], StepError>> {
    const results: ValueWriteResult[] = [];
    for (const batch of splitWrites(writes, writer.sizeOf)) {
      const written = await write(batch, patience);
      if (written.isErr()) return err(written.error);
      results.push(...written.value);
      written.value.forEach((result, index) => {
        if (result.kind === "stored") {
          remember(batch[index]!.key, result.revision);
        }
      });
    }
    return ok(results);
  }

  function remember(key: string, revision: number): void {
    revisions.delete(key);
    revisions.set(key, revision);
    if (revisions.size > maxKnownRevisions) {
      revisions.delete(revisions.keys().next().value!);
    }
  }

  async function claim(
    claims: Claim[],
    patience?: Milliseconds,
  ): Promise<Result<ClaimResult[], StepError>> {
    // A key that occurs twice in one batch is claimed by the first.
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
    const written = await writeAll(writes, patience);
    if (written.isErr()) return err(written.error);
    const results = new Map(written.value.map((r, index) => [keys[index]!, r]));
    const replaced = await replaceRefused(firsts, results, patience);
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
    patience: Milliseconds | undefined,
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
      const written = await writeAll(writes, patience);
      if (written.isErr()) return err(written.error);
      written.value.forEach((result, index) => {
        results.set(writes[index]!.key, result);
      });
    }
    return ok(undefined);
  }

  async function settle(
    claims: Claim[],
    patience?: Milliseconds,
  ): Promise<Result<Settlement[], StepError>> {
    const settlements = new Map<string, Settlement>();
    const open = new Map<string, Claim>();
    for (const claim of claims) {
      const key = keyOf(claim.team, claim.key);
      const fits = writer.sizeOf(encodeClaim(claim)) <= STORE_VALUE_LIMIT;
      if (fits) open.set(key, claim);
      else settlements.set(key, "too-large");
    }
    // The second round uses the revisions that the first one read.
    for (let round = 0; round < 3 && open.size > 0; round++) {
      const writes = [...open].map(([key, claim]) => ({
        key,
        value: encodeClaim(claim),
        revision: revisions.get(key) ?? 0,
      }));
      const written = await writeAll(writes, patience);
      if (written.isErr()) return err(written.error);
      written.value.forEach((result, index) => {
        const { key } = writes[index]!;
        const settlement = judge(result, open.get(key)!, key);
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

  /** What a settlement came to; undefined if it must be tried again. */
  function judge(
    result: ValueWriteResult,
    claim: Claim,
    key: string,
  ): Settlement | undefined {
    if (result.kind === "stored") return "settled";
    revisions.delete(key);
    // The claim expired; it is created anew.
    if (!result.current) return undefined;
    const current = decodeClaim(result.current);
    if (current.isErr() || current.value.request !== claim.request) {
      return "conflict";
    }
    if (current.value.outcome) return "settled";
    remember(key, result.current.revision);
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

/** Whether the stored claim is of the same work, by a request that never ran. */
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
    // The condition is absence, so that a conflict must show a value.
    return err(malformedClaim(claim.key, "a conflict shows no claim"));
  }
  return decodeClaim(result.current).map((existing): ClaimResult => {
    // A batch that was sent again finds its own claims.
    const own = existing.request === claim.request &&
      existing.entry === claim.entry &&
      existing.incarnation === claim.incarnation && !existing.outcome;
    return own ? { kind: "created" } : { kind: "existing", claim: existing };
  });
}

/** Splits writes into calls of bounded count and size. */
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

function collectResults<T>(
  results: Result<T, StepError>[],
): Result<T[], StepError> {
  const failed = results.find((result) => result.isErr());
  if (failed?.isErr()) return err(failed.error);
  return ok(results.flatMap((result) => result.isOk() ? [result.value] : []));
}
