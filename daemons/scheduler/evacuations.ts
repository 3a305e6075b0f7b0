/**
 * Failure domains that the operator evacuates, as an entry last read them from
 * the store. They stay in force while the store does not answer.
 *
 * @module
 */

import { parseEvacuationKey } from "@dragonflyledge/platform";
import type { Change, Item } from "@dragonflyledge/platform";

/** Evacuations in force; other keys of the operator have no effect on them. */
export interface EvacuationHolder {
  current(): ReadonlySet<string>;
  /** Replaces all evacuations by those of a whole list of keys. */
  replace(items: Item[]): void;
  /** Applies changes of keys in order. */
  apply(changes: Change[]): void;
}

/** Creates a holder without evacuations; it reports only real changes. */
export function createEvacuationHolder(fields: {
  onChange: (evacuated: ReadonlySet<string>) => void;
}): EvacuationHolder {
  let evacuated: ReadonlySet<string> = new Set();

  function update(next: ReadonlySet<string>): void {
    const same = next.size === evacuated.size &&
      [...next].every((domain) => evacuated.has(domain));
    evacuated = next;
    if (!same) fields.onChange(next);
  }

  return {
    current: () => evacuated,
    replace: (items) => {
      const domains = items.map(({ key }) => parseEvacuationKey(key));
      update(new Set(domains.filter((domain) => domain !== undefined)));
    },
    apply: (changes) => {
      const next = new Set(evacuated);
      for (const change of changes) {
        const isPut = change.kind === "put";
        const domain = parseEvacuationKey(isPut ? change.item.key : change.key);
        if (domain === undefined) continue;
        if (isPut) next.add(domain);
        else next.delete(domain);
      }
      update(next);
    },
  };
}
