import { test } from "tap";
import { latestUsed } from "./soak/version_check.ts";

// Guards against a soak that takes an entry for one that went back to an older
// configuration when it has just got a newer one (seed 5102).
test("an entry that has a newer version has not gone back", (t) => {
  t.equal(latestUsed({ asked: 6, status: 404, newest: 7 }), undefined);
  t.equal(latestUsed({ asked: 6, status: 404, newest: 6 }), 5);
  t.equal(latestUsed({ asked: 6, status: 401, newest: 6 }), 5);
  t.end();
});

// Guards against a soak that misses a dropped queue or key that is still taken,
// or that counts a refusal by the store's outage.
test("an answer does not tell the version that allows the request", (t) => {
  t.equal(latestUsed({ asked: 5, status: 200, newest: 6 }), 5);
  t.equal(latestUsed({ asked: 6, status: 503, newest: 6 }), undefined);
  t.equal(latestUsed({ asked: 6, status: 0, newest: 6 }), undefined);
  t.end();
});
