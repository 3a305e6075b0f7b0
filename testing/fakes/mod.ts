/**
 * Small stand-ins for the platform store, endpoints, workers and connections.
 *
 * @module
 */

export {};
