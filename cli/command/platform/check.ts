/**
 * Checks a configuration of the platform before it is sent.
 *
 * @module
 */

import { fieldPath, listPath, readStrictly } from "@dragonflyledge/platform";
import type {
  Located,
  StrictConfiguration,
  StrictQueue,
} from "@dragonflyledge/platform";
import type { FleetWorkers } from "./fleet.ts";

/** Whether a finding must be mended before the configuration is sent. */
export const Severity = { Error: "error", Warning: "warning" } as const;
export type Severity = typeof Severity[keyof typeof Severity];

/** What is wrong with one field. */
export interface Finding {
  severity: Severity;
  /** Place of the field, such as `routes[0].prefix`. */
  path: string;
  text: string;
}

/** Result of all checks. */
export interface CheckResult {
  configuration: StrictConfiguration;
  /** Errors first, each kind in the order of the document's parts. */
  findings: Finding[];
  /** Whether every field could be read, so that none is replaced. */
  readable: boolean;
  /** Checks that need a description of the fleet. */
  notDone: string[];
}

/** Notes a finding about a field of an item. */
type Report = (
  severity: Severity,
  item: Located,
  field: string,
  text: string,
) => void;

const FLEET_CHECKS = [
  "guarantees against the accelerators that exist",
  "services and labels against the workers that exist",
  "slack factors against the rates of workers",
];

/** Checks the parsed JSON; without a fleet, some checks are not done. */
export function checkPlatformConfiguration(
  fields: { value: unknown; fleet?: FleetWorkers[] },
): CheckResult {
  const { value, fleet } = fields;
  const { configuration, faults } = readStrictly(value);
  const findings: Finding[] = faults.map(({ path, text, ignored }) => ({
    severity: ignored ? Severity.Warning : Severity.Error,
    path,
    text,
  }));
  const readable = faults.every(({ ignored }) => ignored);
  const report: Report = (severity, item, field, text) => {
    // What seems to be unused may be used by a part that could not be read.
    if (severity === Severity.Warning && !readable) return;
    findings.push({ severity, path: fieldPath(item, field), text });
  };
  checkQueues(configuration, report);
  checkPrefixes(configuration, report);
  checkServices(configuration, report);
  checkTeams(configuration, report);
  checkLimits(configuration, report);
  if (fleet) checkFleet(configuration, fleet, report);
  findings.sort((a, b) => rankOf(a) - rankOf(b));
  return {
    configuration,
    findings,
    readable,
    notDone: fleet ? [] : FLEET_CHECKS,
  };
}

function checkQueues(
  { queues, teams }: StrictConfiguration,
  report: Report,
): void {
  checkNames(queues, "queue", report);
  const anyKey = teams.some(({ keys }) => keys.length > 0);
  for (const queue of queues) {
    if (queue.maxAttempts === 0) {
      const text = "is 0, so that no task may run; 1 is the least";
      report(Severity.Error, queue, "maxAttempts", text);
    }
    if (queue.slackFactor === 0) {
      const text = "is 0, which entries take as no objective";
      report(Severity.Error, queue, "slackFactor", text);
    }
    if (queue.slackFactor === undefined && queue.targetRuntime > 0) {
      const text = "has no effect without a slack factor";
      report(Severity.Warning, queue, "targetRuntime", text);
    }
    if (!queue.anonymous && !anyKey) {
      const text = "is not set, and no team has a key for the queue";
      report(Severity.Warning, queue, "anonymous", text);
    }
  }
}

/** Finds queues that no call reaches. */
function checkPrefixes(
  { queues }: StrictConfiguration,
  report: Report,
): void {
  queues.forEach((queue, index) => {
    const { host, prefix } = queue;
    if (host === "" || host.includes(":")) {
      const text =
        "is no name of a host without a port, so that no call has it";
      report(Severity.Error, queue, "host", text);
    }
    if (prefix !== "" && !prefix.startsWith("/")) {
      const text = "does not begin with /, so that no path matches";
      report(Severity.Error, queue, "prefix", text);
    }
    const onHost = queues.filter((each) => each.host === host);
    const equal = queues.slice(0, index)
      .find((each) => each.host === host && each.prefix === prefix);
    if (equal) {
      const text = `is that of ${nameOf(equal)} on the same host, which ` +
        "gets all calls";
      report(Severity.Error, queue, "prefix", text);
    }
    const longer = onHost.find((each) => each.prefix === `${prefix}/`);
    if (longer) {
      const text = `is shadowed by the longer one of ${nameOf(longer)}, ` +
        "which gets the calls for its jobs";
      report(Severity.Error, queue, "prefix", text);
    }
  });
}

function checkServices(
  { queues, services }: StrictConfiguration,
  report: Report,
): void {
  checkNames(services, "service", report);
  const names = new Set(services.map(({ name }) => name));
  for (const queue of queues) {
    if (queue.service === "" || names.has(queue.service)) continue;
    const text = `names the service ${queue.service}, which is not listed`;
    report(Severity.Error, queue, "service", text);
  }
  for (const service of services) {
    if (queues.some((queue) => queue.service === service.name)) continue;
    report(Severity.Warning, service, "name", "is in no queue's use");
  }
}

/** Finds keys and names that do not tell teams apart; no key is shown. */
function checkTeams(
  { queues, teams }: StrictConfiguration,
  report: Report,
): void {
  checkNames(teams, "team", report);
  const holders = new Map<string, { item: Located; path: string }>();
  for (const team of teams) {
    team.keys.forEach((key, index) => {
      const field = listPath("keys", index);
      const keys = listPath("keys");
      const path = fieldPath(team, field);
      const holder = holders.get(key);
      if (key === "") {
        report(Severity.Error, team, field, "is empty, so that no call has it");
      } else if (holder) {
        const severity = holder.item === team
          ? Severity.Warning
          : Severity.Error;
        const text = holder.item === team
          ? `is in ${keys} twice`
          : `is the same key as ${holder.path}, whose team gets all calls`;
        report(severity, team, field, text);
      } else holders.set(key, { item: team, path });
    });
    const urgent = queues.some(({ priority }) => priority === 0);
    if (team.guaranteedAccelerators > 0 && !urgent) {
      const text = "has no effect, since no queue has priority 0";
      report(Severity.Warning, team, "guaranteedAccelerators", text);
    }
  }
}

function checkLimits({ limits }: StrictConfiguration, report: Report): void {
  const { bodyLimit, headerLimit, headerTimeout, idleTimeout } = limits;
  const amounts = { bodyLimit, headerLimit, headerTimeout, idleTimeout };
  for (const [field, amount] of Object.entries(amounts)) {
    if (amount > 0) continue;
    report(Severity.Error, limits, field, "is 0, so that no call is served");
  }
  if (headerLimit > bodyLimit) {
    const text = `is ${headerLimit}, above the limit of bodies, ${bodyLimit}`;
    report(Severity.Error, limits, "headerLimit", text);
  }
  if (headerTimeout > idleTimeout) {
    const text = `is ${headerTimeout}, above the time for which an idle ` +
      `connection stays open, ${idleTimeout}`;
    report(Severity.Error, limits, "headerTimeout", text);
  }
}

function checkFleet(
  configuration: StrictConfiguration,
  fleet: FleetWorkers[],
  report: Report,
): void {
  const { queues, services, teams } = configuration;
  let left = fleet.reduce(
    (sum, { count, accelerators }) => sum + count * accelerators,
    0,
  );
  const existing = left;
  for (const team of teams) {
    left -= team.guaranteedAccelerators;
    if (left >= 0 || team.guaranteedAccelerators === 0) continue;
    const text = `exceeds what is left of the ${existing} accelerators that ` +
      `exist by ${-left}`;
    report(Severity.Error, team, "guaranteedAccelerators", text);
    left = 0;
  }
  for (const service of services) {
    const workers = fleet.filter((each) => each.service === service.name);
    if (workers.length === 0) {
      report(Severity.Error, service, "name", "is a service of no worker");
    } else checkLabels(service, workers, report);
  }
  for (const queue of queues) {
    const workers = fleet.filter(({ service }) => service === queue.service);
    if (workers.length === 0) continue;
    checkLabels(queue, workers, report);
    checkSlack(queue, workers, report);
  }
}

function checkLabels(
  item: Located & { labels: string[] },
  workers: FleetWorkers[],
  report: Report,
): void {
  const missing = item.labels
    .filter((label) => !workers.some(({ labels }) => labels.includes(label)));
  for (const label of missing) {
    const text = `names ${label}, a label of no worker of the service`;
    report(Severity.Error, item, "labels", text);
  }
}

/**
 * A job that takes its critical path at the usual rate takes that divided by the
 * rate of its worker. With a longer and longer path, the time added on top helps
 * less and less.
 */
function checkSlack(
  queue: StrictQueue,
  workers: FleetWorkers[],
  report: Report,
): void {
  const { slackFactor, targetRuntime } = queue;
  if (!slackFactor) return;
  const fastest = Math.max(...workers.map(({ rate }) => rate));
  if (slackFactor >= 1 / fastest) return;
  const longest = targetRuntime / (1 / fastest - slackFactor);
  const text = `is below ${(1 / fastest).toFixed(2)}, the run time on the ` +
    "fastest worker as a share of the critical path; only jobs of less than " +
    `${Math.round(longest)} ms can be on time`;
  const severity = targetRuntime > 0 ? Severity.Warning : Severity.Error;
  report(severity, queue, "slackFactor", text);
}

function checkNames(
  items: (Located & { name: string })[],
  kind: string,
  report: Report,
): void {
  const first = new Map<string, Located>();
  for (const item of items) {
    const earlier = first.get(item.name);
    if (item.name === "") continue;
    if (!earlier) first.set(item.name, item);
    else {
      const text = `is the name of another ${kind}, ${earlier.path}`;
      report(Severity.Error, item, "name", text);
    }
  }
}

function nameOf(queue: StrictQueue): string {
  return queue.name === "" ? queue.path : `${queue.path} (${queue.name})`;
}

function rankOf({ severity }: Finding): number {
  return severity === Severity.Error ? 0 : 1;
}
