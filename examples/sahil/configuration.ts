/**
 * Sahil Lemon Kits Members' Co-operative, Muscat: 11 workers with 8
 * accelerators each. The tokens are example values; real ones come from a
 * secret store.
 *
 * @module
 */

import {
  configuration as declare,
  service,
  shape,
  team,
  tokenDigest,
  workClass,
} from "@dragonflyledge/declare";
import { SECOND } from "@dragonflyledge/model";

/** Guarantees 64 of 88 accelerators; the rest serves peak load. */
export const configuration = declare({
  teams: [
    team({
      name: "member-shops",
      tokenDigests: [tokenDigest("example-token-member-shops")],
      guarantees: [
        shape({ accelerators: 2, adjacency: "worker", count: 8 }),
        shape({ accelerators: 8, adjacency: "worker", count: 1 }),
      ],
      acceleratorQuota: 72,
      weight: 5,
    }),
    team({
      name: "school-clubs",
      tokenDigests: [tokenDigest("example-token-school-clubs")],
      guarantees: [shape({ accelerators: 1, adjacency: "any", count: 8 })],
      acceleratorQuota: 24,
      weight: 2,
    }),
    team({
      name: "packing-floor",
      tokenDigests: [tokenDigest("example-token-packing-floor")],
      guarantees: [shape({ accelerators: 4, adjacency: "worker", count: 4 })],
      acceleratorQuota: 48,
      weight: 3,
    }),
    team({
      name: "demand-forecast",
      tokenDigests: [tokenDigest("example-token-demand-forecast")],
      guarantees: [shape({ accelerators: 16, adjacency: "rack", count: 1 })],
      acceleratorQuota: 64,
    }),
  ],
  classes: [
    workClass({
      name: "quote",
      urgent: true,
      slotShare: 1,
      defaultDeadline: 3 * SECOND,
      queueLimit: 2000,
    }),
    workClass({
      name: "allocation",
      urgent: true,
      slotShare: 0.75,
      defaultDeadline: 15 * SECOND,
      queueLimit: 500,
    }),
    workClass({
      name: "restock-list",
      urgent: false,
      slotShare: 0.5,
      defaultDeadline: 120 * SECOND,
      queueLimit: 500,
    }),
    workClass({
      name: "forecast",
      urgent: false,
      slotShare: 0.25,
      defaultDeadline: 600 * SECOND,
      queueLimit: 50,
    }),
  ],
  services: [service({ name: "kit-ordering", path: "/order" })],
});
