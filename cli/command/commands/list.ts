/**
 * List of all commands. To add a command, create a file in this folder and
 * append its registration to the list.
 *
 * @module
 */

import { registerAgent } from "./agent.ts";
import { registerAudit } from "./audit.ts";
import { registerCauses } from "./causes.ts";
import { registerConfigCheck } from "./config_check.ts";
import { registerConfigDiff } from "./config_diff.ts";
import { registerConfigHistory } from "./config_history.ts";
import { registerConfigPrint } from "./config_print.ts";
import { registerConfigSubmit } from "./config_submit.ts";
import { registerDemo } from "./demo.ts";
import { registerDev } from "./dev.ts";
import { registerDrain } from "./drain.ts";
import { registerEntry } from "./entry.ts";
import { registerExplain } from "./explain.ts";
import { registerJobsCancel } from "./jobs_cancel.ts";
import { registerJobsList } from "./jobs_list.ts";
import { registerJobsShow } from "./jobs_show.ts";
import { registerJobsSubmit } from "./jobs_submit.ts";
import { registerJobsWhy } from "./jobs_why.ts";
import type { CommandRegistration } from "./register.ts";
import { registerStatus } from "./status.ts";

/** All commands, in the order in which the help lists them. */
export const COMMANDS: CommandRegistration[] = [
  registerConfigPrint,
  registerConfigCheck,
  registerConfigDiff,
  registerConfigSubmit,
  registerConfigHistory,
  registerStatus,
  registerJobsList,
  registerJobsShow,
  registerJobsWhy,
  registerJobsSubmit,
  registerJobsCancel,
  registerAudit,
  registerExplain,
  registerCauses,
  registerDrain,
  registerEntry,
  registerAgent,
  registerDev,
  registerDemo,
];
