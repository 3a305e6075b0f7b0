/** HTTP server with JSON bodies, on which the stand-ins are built. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

/**
 * Starts a server on `host` and `port` that answers each call by `handle`. A
 * call for which `handle` returns undefined gets no answer.
 */
export async function startJsonServer({ host, port, handle }) {
  const server = createServer({ keepAliveTimeout: 60_000 });
  server.on("request", (request, response) => {
    serve(request, response, handle).catch(() => response.destroy());
  });
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return {
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function serve(request, response, handle) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  const url = new URL(request.url, "http://host");
  const reply = await handle({
    method: request.method,
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    body: text === "" ? {} : JSON.parse(text),
  });
  if (!reply) return;
  response.writeHead(reply.status, { "content-type": "application/json" });
  response.end(reply.body === undefined ? "" : JSON.stringify(reply.body));
}
