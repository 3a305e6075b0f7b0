/**
 * Agent daemon beside one endpoint: forwards requests and runs tasks on the worker.
 *
 * @module
 */

export {};
