/**
 * Decides when a new leader knows enough of the fleet to stop runs.
 *
 * Load pattern: a leader is replaced while the fleet is busy. The first agents
 * to report seem to be the whole fleet, and urgent tasks would stop runs there
 * although there is room on workers that report some milliseconds later.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";

/** Without a first report for this long, the missing agents count as silent. */
const QUIET_TIME: Milliseconds = 200;
/** Longest time for which agents are awaited. */
const LONGEST_SURVEY: Milliseconds = SECOND;

/** What a new leader has heard of the fleet that it took over. */
export interface Survey {
  /** Agents that have not reported to this leader yet. */
  awaited: Set<string>;
  /** When all agents of the store were known; undefined before that. */
  begunAt?: Milliseconds;
  /** When an agent last reported for the first time. */
  lastFirstReportAt: Milliseconds;
}

/** Creates the survey of a leader that knows no agents yet. */
export function createSurvey(): Survey {
  return { awaited: new Set(), lastFirstReportAt: 0 };
}

/** Starts to wait for the agents that are known now. */
export function beginSurvey(survey: Survey, now: Milliseconds): void {
  survey.begunAt = now;
  survey.lastFirstReportAt = now;
}

/** Notes a report of an agent. */
export function noteReport(
  survey: Survey,
  agent: string,
  now: Milliseconds,
): void {
  if (survey.awaited.delete(agent)) survey.lastFirstReportAt = now;
}

/** Whether the agents that answer can be expected to have reported. */
export function isSurveyComplete(survey: Survey, now: Milliseconds): boolean {
  const { begunAt, lastFirstReportAt, awaited } = survey;
  if (begunAt === undefined) return false;
  return awaited.size === 0 || now - lastFirstReportAt >= QUIET_TIME ||
    now - begunAt >= LONGEST_SURVEY;
}
