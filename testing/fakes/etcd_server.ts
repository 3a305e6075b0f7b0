/**
 * Fake of the platform's key-value service: the operations of the etcd v3 JSON
 * gateway that the store adapter uses, on an in-memory store.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  answerJson,
  listenHttp,
  type ListeningServer,
  readObject,
} from "./http.ts";
import {
  createHeader,
  decodeTarget,
  encodeChange,
  encodeRange,
  GatewayError,
  invalid,
  leaseNotFound,
  performTransaction,
} from "./etcd_operations.ts";
import type { MemoryStore } from "./memory_store.ts";

type JsonObject = Record<string, unknown>;

/**
 * Starts the server. The faults of `memory` apply to it as well: while `down`
 * is set it closes connections, or leaves calls unanswered if `hang` is set
 * too.
 */
export function createEtcdServer(
  { memory, host, port }: { memory: MemoryStore; host?: string; port?: number },
): Promise<ListeningServer> {
  return listenHttp({
    host,
    port,
    handle(request, response) {
      serve(memory, request, response).catch((error: unknown) => {
        if (!(error instanceof GatewayError)) throw error;
        const { code, message } = error;
        answerJson(response, error.status, { error: message, code, message });
      });
    },
  });
}

async function serve(
  memory: MemoryStore,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const fields = await readObject(request);
  const path = request.url ?? "";
  if (!fields || request.method !== "POST") throw invalid("not a JSON POST");
  if (path === "/v3/watch") return serveWatch(memory, fields, response);
  const operation = operations[path];
  if (!operation) throw new GatewayError(404, 5, "Not Found");
  memory.record(operation.kind, callKey(path, fields));
  const { faults, timer } = memory;
  if (faults.delay > 0) {
    await new Promise<void>((done) => void timer.after(faults.delay, done));
  }
  if (faults.down) {
    if (!faults.hang) response.destroy();
    return;
  }
  const answer = operation.run(memory, fields);
  if (!["get", "list"].includes(operation.kind) && faults.lostAnswers > 0) {
    faults.lostAnswers--;
    response.destroy();
    return;
  }
  answerJson(response, 200, answer);
}

const operations: Record<string, {
  kind: "get" | "write" | "grant" | "renew" | "revoke";
  run: (memory: MemoryStore, fields: JsonObject) => JsonObject;
}> = {
  "/v3/kv/range": {
    kind: "get",
    run(memory, fields) {
      const { key, exact } = decodeTarget(fields);
      const { items, at } = memory.read(key, exact);
      const returned = fields.keys_only === true
        ? items.map((item) => ({ ...item, value: "" }))
        : items;
      return encodeRange(returned, at);
    },
  },
  "/v3/kv/txn": {
    kind: "write",
    run: (memory, fields) => performTransaction(memory.model, fields),
  },
  "/v3/lease/grant": {
    kind: "grant",
    run({ model }, fields) {
      const seconds = Number(fields.TTL);
      if (!(seconds > 0)) throw invalid("TTL must be positive");
      const id = model.grant(seconds * 1000);
      return {
        header: createHeader(model.revision()),
        ID: id,
        TTL: String(seconds),
      };
    },
  },
  "/v3/lease/keepalive": {
    kind: "renew",
    run({ model }, fields) {
      const id = String(fields.ID);
      const remaining = model.renew(id);
      // The gateway omits a TTL of 0, which means that the lease does not
      // exist.
      const ttl = remaining === undefined
        ? {}
        : { TTL: String(remaining / 1000) };
      return {
        result: { header: createHeader(model.revision()), ID: id, ...ttl },
      };
    },
  },
  "/v3/lease/revoke": {
    kind: "revoke",
    run({ model }, fields) {
      if (!model.revoke(String(fields.ID))) throw leaseNotFound();
      return { header: createHeader(model.revision()) };
    },
  },
};

function serveWatch(
  memory: MemoryStore,
  fields: JsonObject,
  response: ServerResponse,
): void {
  const create = fields.create_request;
  if (typeof create !== "object" || create === null) throw invalid("create");
  const { key } = decodeTarget(create as JsonObject);
  memory.record("watch", key);
  if (memory.faults.down) {
    if (!memory.faults.hang) response.destroy();
    return;
  }
  const { model } = memory;
  const send = (result: JsonObject) =>
    void response.write(
      JSON.stringify({
        result: { header: createHeader(model.revision()), ...result },
      }) + "\n",
    );
  response.writeHead(200, { "content-type": "application/json" });
  send({ created: true });
  const unsubscribe = model.subscribe(
    key,
    (changes) => send({ events: changes.map(encodeChange) }),
  );
  const unregister = memory.onWatchesEnd(() => response.destroy());
  response.on("close", () => {
    unsubscribe();
    unregister();
  });
}

/** Key, prefix or lease of a call, for the list of recorded calls. */
function callKey(path: string, fields: JsonObject): string {
  if (path === "/v3/kv/range") return decodeTarget(fields).key;
  return typeof fields.ID === "string" ? fields.ID : "";
}
