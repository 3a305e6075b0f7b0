/**
 * Entry daemon: HTTP towards callers, sessions towards agents, store adapter.
 *
 * @module
 */

export {};
