/**
 * Length-limited frames of CBOR and validation of messages.
 *
 * @module
 */

export * from "./frame.ts";
export { checkMessage } from "./message_schema.ts";
