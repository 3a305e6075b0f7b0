import { test } from "tap";
import { hasGoneBack } from "./soak/version_check.ts";

// Guards against a soak that takes an entry for one that went back to an older
// configuration when it has just got a newer one (seed 5102).
test("an entry that has a newer version has not gone back", (t) => {
  t.notOk(hasGoneBack({ asked: 6, known: 6, newest: 7 }));
  t.ok(hasGoneBack({ asked: 6, known: 6, newest: 6 }));
  t.notOk(hasGoneBack({ asked: 6, known: 5, newest: 6 }), "it comes later");
  t.end();
});
