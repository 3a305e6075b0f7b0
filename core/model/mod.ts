/**
 * Types that all parts of the system share: configuration, messages, events and
 * effects of the reducers, errors and limits.
 *
 * @module
 */

export * from "./address.ts";
export * from "./agent.ts";
export * from "./clock.ts";
export * from "./configuration.ts";
export * from "./entry.ts";
export * from "./errors.ts";
export * from "./limits.ts";
export * from "./messages.ts";
export * from "./outcome.ts";
export * from "./resources.ts";
export * from "./work.ts";
