/** Calls of the stand-ins' clients. */
import { Buffer } from "node:buffer";
import { request } from "node:http";

/** Makes a call; resolves with status 0 if there is no answer. */
export function call({ address, method, path, headers, body, timeout = 5000 }) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const none = () => resolve({ status: 0, body: undefined });
    const outgoing = request({ host, port, method, path, headers });
    outgoing.on("response", async (response) => {
      const chunks = [];
      try {
        for await (const chunk of response) chunks.push(chunk);
        const text = Buffer.concat(chunks).toString();
        const parsed = text === "" ? undefined : JSON.parse(text);
        resolve({ status: response.statusCode, body: parsed });
      } catch {
        none();
      }
    });
    outgoing.on("error", none);
    outgoing.setTimeout(timeout, () => outgoing.destroy());
    if (body === undefined) return outgoing.end();
    const bytes = Buffer.from(JSON.stringify(body));
    outgoing.setHeader("content-type", "application/json");
    outgoing.setHeader("content-length", bytes.length);
    outgoing.end(bytes);
  });
}
