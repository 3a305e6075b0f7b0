/**
 * Nyabugogo Crisp Works, Kigali: 11 workers with 8 accelerators each. The
 * tokens are example values; real ones come from a secret store.
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

/** Guarantees 72 of 88 accelerators; the rest covers the loss of workers. */
export const configuration = declare({
  teams: [
    team({
      name: "fry-floor",
      tokenDigests: [tokenDigest("example-token-fry-floor")],
      guarantees: [shape({ accelerators: 1, adjacency: "any", count: 8 })],
      acceleratorQuota: 16,
      weight: 4,
    }),
    team({
      name: "quality-lab",
      tokenDigests: [tokenDigest("example-token-quality-lab")],
      guarantees: [shape({ accelerators: 4, adjacency: "worker", count: 6 })],
      acceleratorQuota: 64,
      weight: 3,
    }),
    team({
      name: "recipe-tuning",
      tokenDigests: [tokenDigest("example-token-recipe-tuning")],
      guarantees: [
        shape({ accelerators: 16, adjacency: "rack", count: 1 }),
        shape({ accelerators: 8, adjacency: "worker", count: 2 }),
      ],
      acceleratorQuota: 64,
    }),
    team({
      name: "dispatch",
      tokenDigests: [tokenDigest("example-token-dispatch")],
      guarantees: [shape({ accelerators: 2, adjacency: "worker", count: 4 })],
      acceleratorQuota: 16,
      weight: 2,
    }),
  ],
  classes: [
    workClass({
      name: "shift-plan",
      urgent: true,
      slotShare: 1,
      defaultDeadline: 10 * SECOND,
      queueLimit: 500,
    }),
    workClass({
      name: "quality-check",
      urgent: true,
      slotShare: 0.75,
      defaultDeadline: 30 * SECOND,
      queueLimit: 500,
    }),
    workClass({
      name: "image-batch",
      urgent: false,
      slotShare: 0.5,
      defaultDeadline: 600 * SECOND,
      queueLimit: 200,
    }),
    workClass({
      name: "recipe-tuning",
      urgent: false,
      slotShare: 0.25,
      defaultDeadline: 600 * SECOND,
      queueLimit: 50,
    }),
  ],
  services: [service({ name: "fryer-line-planning", path: "/plan" })],
});
