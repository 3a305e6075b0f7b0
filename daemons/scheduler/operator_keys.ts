/**
 * Follows what the operator writes to the store: the configuration and the
 * failure domains to evacuate.
 *
 * @module
 */

import type { Log } from "@dragonflyledge/log";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import { CONFIGURATION_KEY, OPERATOR_PREFIX } from "@dragonflyledge/platform";
import type { Item, KeyValue } from "@dragonflyledge/platform";
import { createDeploymentHolder } from "./deployment.ts";
import type { DeploymentHolder } from "./deployment.ts";
import { createEvacuationHolder } from "./evacuations.ts";
import type { EvacuationHolder } from "./evacuations.ts";
import { follow } from "./follow.ts";
import { createTroubleLog } from "./trouble_log.ts";

/** The operator's keys as an entry knows them. */
export interface OperatorKeys {
  readonly configurations: DeploymentHolder;
  readonly evacuations: Pick<EvacuationHolder, "current">;
  /** Time since the keys were last known to be as the store has them. */
  age(): Milliseconds;
  /** Lists the keys, and then follows them. */
  restart(): void;
}

/** Creates a follower of the operator's keys; it starts with `restart`. */
export function createOperatorKeys(fields: {
  store: KeyValue;
  /** Time after which a configuration that the store took must be in force. */
  bound: Milliseconds;
  /** Clock that also counts the time for which the machine was suspended. */
  clock: Clock;
  timer: Timer;
  /** Called when the configuration or the evacuations have changed. */
  onChange: () => void;
  /** Called when the keys were listed, after any change. */
  onListed: () => void;
  log: Log;
}): OperatorKeys {
  const { store, clock, timer, log } = fields;
  const age = () => clock.now() - follower.freshAt();
  const configurations = createDeploymentHolder({
    age,
    bound: fields.bound,
    onNewer: fields.onChange,
    log,
  });
  const evacuations = createEvacuationHolder({
    onChange: (evacuated) => {
      log.info("Evacuations read.", { domains: [...evacuated].join() });
      fields.onChange();
    },
  });

  function applyNewestConfiguration(items: Item[]): void {
    const newest = items.findLast(({ key }) => key === CONFIGURATION_KEY);
    if (newest) configurations.apply(newest.value);
  }

  const follower = follow({
    store,
    listPrefix: OPERATOR_PREFIX,
    clock,
    timer,
    listsWhenBehind: true,
    pause: () => 0,
    onList: (items) => {
      evacuations.replace(items);
      applyNewestConfiguration(items);
      fields.onListed();
    },
    onChanges: (changes) => {
      evacuations.apply(changes);
      applyNewestConfiguration(
        changes.flatMap((each) => each.kind === "put" ? [each.item] : []),
      );
    },
    onTrouble: createTroubleLog(log, "configuration"),
  });

  return {
    configurations,
    evacuations,
    age,
    restart: () => follower.restart(OPERATOR_PREFIX),
  };
}
