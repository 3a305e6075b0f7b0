/**
 * Length-limited frames of CBOR and validation of messages.
 *
 * @module
 */

export {};
