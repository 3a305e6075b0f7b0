/**
 * Type guards for values that come from other processes.
 *
 * @module
 */

/** Tells whether a value has a type. */
export type Guard<T> = (value: unknown) => value is T;

export const isText: Guard<string> = (value) => typeof value === "string";
export const isFlag: Guard<boolean> = (value) => typeof value === "boolean";
/** Finite numbers, also negative ones. */
export const isNumber: Guard<number> = (value): value is number =>
  typeof value === "number" && Number.isFinite(value);
/**
 * Numbers from 0 up to the largest whole number that is exact. JSON also holds
 * numbers that are read as infinite.
 */
export const isAmount: Guard<number> = (value): value is number =>
  isNumber(value) && value >= 0 && value <= Number.MAX_SAFE_INTEGER;
/** Whole numbers from 0 up that are exact. */
export const isCount: Guard<number> = (value): value is number =>
  isAmount(value) && Number.isInteger(value);

/** Guards a list whose entries all pass the guard. */
export function listOf<T>(guard: Guard<T>): Guard<T[]> {
  return (value): value is T[] => Array.isArray(value) && value.every(guard);
}

/** Guards a value that may be missing. */
export function optional<T>(guard: Guard<T>): Guard<T | undefined> {
  return (value): value is T | undefined => value === undefined || guard(value);
}

/** Guards an object that has each of the given fields; others are ignored. */
export function objectWith<T extends object>(
  guards: { [Field in keyof T]-?: Guard<T[Field]> },
): Guard<T> {
  const fields = Object.entries(guards) as [string, Guard<unknown>][];
  return (value): value is T =>
    typeof value === "object" && value !== null &&
    fields.every(([name, guard]) =>
      guard((value as Record<string, unknown>)[name])
    );
}
