/** Relay of TCP connections that a partition can hold up. */
import { connect, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Starts a relay on `host` and `port` to the `target` "host:port". */
export async function startRelay({ host, port, target }) {
  const [targetHost, targetPort] = target.split(":");
  const connections = new Set();
  let cut = false;

  const server = createServer({ allowHalfOpen: true }, (client) => {
    client.on("error", () => client.destroy());
    const connection = { client, open: undefined };
    connections.add(connection);
    client.once("close", () => connections.delete(connection));
    const join = () => {
      // One that its client gave up during the cut was never made.
      if (client.destroyed) return;
      const options = {
        host: targetHost,
        port: Number(targetPort),
        allowHalfOpen: true,
      };
      const upstream = connect(options);
      upstream.on("error", () => client.destroy());
      client.on("error", () => upstream.destroy());
      client.pipe(upstream);
      upstream.pipe(client);
      connection.upstream = upstream;
    };
    if (cut) connection.open = join;
    else join();
  });
  await new Promise((resolve) => server.listen(port, host, resolve));

  return {
    /** Holds up all bytes and new connections. */
    cut: () => {
      cut = true;
      for (const { client, upstream } of connections) {
        client.unpipe(upstream);
        upstream?.unpipe(client);
        client.pause();
      }
    },
    /**
     * Lets new connections through. Bytes on those from before the cut follow
     * after `delay`, when their sender's TCP sends them again.
     */
    heal: async (delay) => {
      cut = false;
      const held = [...connections].filter(({ upstream }) => upstream);
      for (const { open } of connections) open?.();
      await sleep(delay);
      for (const { client, upstream } of held) {
        client.pipe(upstream);
        upstream.pipe(client);
      }
    },
    close: () => {
      server.close();
      for (const { client, upstream } of connections) {
        client.destroy();
        upstream?.destroy();
      }
    },
  };
}
