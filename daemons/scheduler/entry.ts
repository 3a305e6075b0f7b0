/**
 * Connects the parts of an entry: callers, configuration, replica and election.
 *
 * @module
 */

import { KIBIBYTE, SECOND } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { Log } from "@dragonflyledge/log";
import {
  createKeyValue,
  policyOf,
  READINESS_PATH,
} from "@dragonflyledge/platform";
import type { Deployment, ProcessSettings } from "@dragonflyledge/platform";
import type { Instruments } from "@dragonflyledge/exposition";
import {
  instrumentStore,
  limitLinks,
  listenHttp,
  registerAddress,
} from "@dragonflyledge/program";
import type {
  Admission,
  ClientControl,
  HttpAnswer,
  HttpRequest,
  HttpRequestHead,
} from "@dragonflyledge/program";
import {
  entryKey,
  INPUT_PREFIX,
  STORE_PREFIX,
} from "@dragonflyledge/scheduler";
import type { Policies } from "@dragonflyledge/scheduler";
import { createElapsedClock } from "@dragonflyledge/runtime";
import {
  grantLength,
  longestUnlistedTime,
} from "@dragonflyledge/worker-control";
import { createCallerApi } from "./caller_api.ts";
import { startElection } from "./election.ts";
import { follow } from "./follow.ts";
import { startTerm } from "./leader.ts";
import type { Term } from "./leader.ts";
import { createOperatorKeys } from "./operator_keys.ts";
import { createPeers } from "./peers.ts";
import { createReplica } from "./replica.ts";
import { createTroubleLog } from "./trouble_log.ts";

/** Pauses between watches, so that one answer carries several changes. */
const LEADER_PAUSE: Milliseconds = 5;
const STANDBY_PAUSE: Milliseconds = 150;
/** An entry whose copy of the store is older than this is not ready. */
const READY_FRESHNESS: Milliseconds = 2500;
/**
 * A new leader whose copy of the operator's keys is older than this lists them
 * before it plans. A working watch answers at least each second.
 */
const OPERATOR_FRESHNESS: Milliseconds = 2000;
const DEFAULT_BODY_LIMIT = 256 * KIBIBYTE;
const DEFAULT_HEADER_LIMIT = 16 * KIBIBYTE;
const DEFAULT_HEADER_TIMEOUT: Milliseconds = 3000;
const DEFAULT_IDLE_TIMEOUT: Milliseconds = 15_000;
/** The platform stops sending connections after two failed readiness checks. */
const DRAIN_DELAY: Milliseconds = 2500;
const DRAIN_CHECK: Milliseconds = 100;
/** Time from the end of a drain until the platform kills the process. */
const DRAIN_RESERVE: Milliseconds = 1000;

/** A running entry. */
export interface RunningEntry {
  /** Stops accepting connections; resolves once open requests are answered. */
  drain(): Promise<void>;
}

/** Starts an entry; it runs until it is drained. */
export function startEntry(fields: {
  settings: ProcessSettings;
  clock: Clock;
  timer: Timer;
  log: Log;
  instruments: Instruments;
  /** Limits that all listeners of the process share. */
  clients: ClientControl;
}): RunningEntry {
  const { settings, clock, timer, log, instruments } = fields;
  // Leadership and the copies of the store are as old as the time that passed,
  // also while the machine was suspended.
  const elapsed = createElapsedClock(clock);
  const store = instrumentStore({
    store: createKeyValue({ address: settings.storeAddress, timer }),
    instruments,
    clock,
  });
  const replica = createReplica({
    onBadItem: (key, error) =>
      log.warn("A record in the store can't be decoded.", {
        key,
        error: `${error}`,
      }),
  });
  let term: Term | undefined;
  let epoch: number | undefined;
  /** Whether the jobs were listed since the election was won. */
  let listedInTerm = false;
  /** Whether a new term awaits the list of the operator's keys. */
  let operatorListDue = false;
  let draining = false;

  const operatorKeys = createOperatorKeys({
    store,
    bound: settings.configurationBound,
    clock: elapsed,
    timer,
    onChange: () => term?.setPolicies(currentPolicies()),
    onListed: () => {
      operatorListDue = false;
      beginTermIfDue();
    },
    log,
  });
  const { configurations, evacuations } = operatorKeys;

  function currentPolicies(): Policies {
    return policiesOf(configurations.current(), evacuations.current());
  }

  const jobs = follow({
    store,
    listPrefix: STORE_PREFIX,
    clock: elapsed,
    timer,
    listsWhenBehind: false,
    pause: () => epoch === undefined ? STANDBY_PAUSE : LEADER_PAUSE,
    onList: (items, revision) => {
      replica.replace(items, revision);
      if (epoch === undefined) return;
      if (replica.leader()?.revision !== epoch) {
        return election.stepDown("the store lists another leader");
      }
      if (term) term.loadReplica();
      listedInTerm = true;
      beginTermIfDue();
    },
    onChanges: (changes) => {
      replica.apply(changes);
      term?.applyChanges(changes);
      if (replica.leader() === undefined) election.noteVacancy();
    },
    onTrouble: createTroubleLog(log, "jobs"),
  });

  /** Begins the term of a won election once jobs and evacuations are known. */
  function beginTermIfDue(): void {
    if (term || epoch === undefined || !listedInTerm || operatorListDue) return;
    term = beginTerm(epoch);
  }

  /** Lists the operator's keys again if the copy of them is old. */
  function refreshOperatorKeys(): void {
    operatorListDue = operatorKeys.age() > OPERATOR_FRESHNESS;
    if (operatorListDue) operatorKeys.restart();
  }

  function beginTerm(epoch: number): Term {
    return startTerm({
      epoch,
      leads: election.leads,
      onDeposed: () => election.stepDown("a commit found another leader"),
      onIsolated: () => election.pause("no agent sends reports"),
      store,
      replica,
      policies: currentPolicies(),
      grant: grantLength(settings.longestLease),
      unlistedTime: longestUnlistedTime(settings.longestLease),
      retention: 2 * settings.statusRetention,
      clock,
      timer,
      log,
      instruments,
    });
  }

  const election = startElection({
    name: settings.name,
    cores: settings.cores,
    store,
    clock: elapsed,
    timer,
    shortestLease: settings.shortestLease,
    isVacant: () => jobs.isListed() && replica.leader() === undefined,
    // A leader key with this entry's name is from an earlier process, which
    // has ended.
    staleRevision: () => {
      const leader = jobs.isListed() ? replica.leader() : undefined;
      return leader?.name === settings.name ? leader.revision : undefined;
    },
    onWon: (won) => {
      epoch = won;
      listedInTerm = false;
      refreshOperatorKeys();
      // Only the leader itself writes the keys outside this prefix.
      jobs.restart(INPUT_PREFIX);
    },
    onLost: () => {
      epoch = undefined;
      term?.end();
      term = undefined;
      jobs.restart(STORE_PREFIX);
    },
    log,
  });

  const isReady = () =>
    !draining && configurations.isConfirmed() && jobs.isListed() &&
    elapsed.now() - jobs.freshAt() < READY_FRESHNESS;

  const peers = createPeers({
    name: settings.name,
    host: settings.host,
    port: settings.linkPort,
    linkLimits: limitLinks(fields.clients),
    entries: () => replica.entries,
    handle: (request) => api.answerLocally(request),
    configurations,
    clock,
    timer,
    log,
  });
  const api = createCallerApi({
    store,
    replica,
    configurations,
    storeFails: () => !jobs.isListed() || jobs.isFailing(),
    forward: peers.forward,
    clock,
    timer,
    log,
  });
  /** Checks path and key of a request before its body is received. */
  function admit(head: HttpRequestHead): Admission {
    const admission = api.admit(head);
    if (admission.kind === "answered") {
      const { method } = head;
      const status = String(admission.answer.status);
      instruments.increment("requests_total", { method, status });
    }
    return admission;
  }

  async function answer(request: HttpRequest): Promise<HttpAnswer> {
    const startedAt = clock.now();
    const { method } = request;
    const answer = await api.answer(request);
    const status = String(answer.status);
    instruments.increment("requests_total", { method, status });
    instruments.time("request_seconds", { method }, clock.now() - startedAt);
    return answer;
  }

  function checkReadiness({ path }: HttpRequestHead): HttpAnswer {
    if (path !== READINESS_PATH) return { status: 404 };
    const version = configurations.current()?.version ?? 0;
    instruments.set("configuration_version", version);
    instruments.set("configuration_age_seconds", operatorKeys.age() / SECOND);
    return { status: isReady() ? 200 : 503 };
  }

  const onError = (error: Error) =>
    log.error("An HTTP server failed.", { error: `${error}` });
  const callers = listenHttp({
    address: settings.callerAddress,
    name: "callers",
    clients: fields.clients,
    bodyLimit: () => configurations.current()?.bodyLimit ?? DEFAULT_BODY_LIMIT,
    headerLimit: () =>
      configurations.current()?.headerLimit ?? DEFAULT_HEADER_LIMIT,
    headerTimeout: () =>
      configurations.current()?.headerTimeout ?? DEFAULT_HEADER_TIMEOUT,
    idleTimeout: () =>
      configurations.current()?.idleTimeout ?? DEFAULT_IDLE_TIMEOUT,
    admit,
    handle: answer,
    onError,
  });
  listenHttp({
    address: settings.readinessAddress,
    name: "readiness",
    clients: fields.clients,
    forPlatform: true,
    bodyLimit: () => DEFAULT_BODY_LIMIT,
    idleTimeout: () => DEFAULT_IDLE_TIMEOUT,
    // No body is needed for any answer.
    admit: (head) => ({ kind: "answered", answer: checkReadiness(head) }),
    handle: checkReadiness,
    onError,
  });
  operatorKeys.restart();
  jobs.restart(STORE_PREFIX);
  const key = entryKey(settings.name);
  const address = `${settings.host}:${settings.linkPort}`;
  registerAddress({
    key,
    address,
    store,
    timer,
    onFirstFailure: () => log.warn("The address could not be stored.", { key }),
  }).then(() => log.info("Registered.", { key, address }));

  /** Resigns, and waits until the callers' connections are closed. */
  async function drain(): Promise<void> {
    draining = true;
    callers.closeAfterAnswers();
    const startedAt = clock.now();
    const last = startedAt + settings.stopGrace - DRAIN_RESERVE;
    await election.resign();
    while (clock.now() < last) {
      const idle = callers.activeRequests() === 0 &&
        clock.now() > startedAt + DRAIN_DELAY;
      if (idle && await callers.connections() === 0) break;
      await new Promise<void>((resolve) => {
        timer.after(DRAIN_CHECK, resolve);
      });
    }
    callers.close();
  }

  return { drain };
}

/**
 * Returns the settings that the scheduler needs of a configuration, which is
 * undefined before the first one, with the failure domains to evacuate.
 */
function policiesOf(
  deployment: Deployment | undefined,
  evacuated: ReadonlySet<string>,
): Policies {
  const { queues = [], teams = [] } = deployment ?? {};
  return {
    evacuated,
    queues: new Map(
      queues.map((queue) => [queue.name, policyOf(queue)]),
    ),
    guarantees: new Map(
      teams.map((team) => [team.name, team.guaranteedAccelerators]),
    ),
  };
}
