import { ManualClock } from '@apricotrill/utils';
import { BenchStore } from './BenchStore.js';
import { ClaimLoad } from './ClaimLoad.js';
import { createReport } from './CostReport.js';
import type { CostReport, CostSettings } from './CostReport.js';

function createValue(index: number, answer: string | undefined): string {
  return JSON.stringify({
    fingerprint: `fingerprint-${index}`,
    requestId: `request-${index}`,
    claim: `daemon-0.1.${index}`,
    holder: { id: 'daemon-0', incarnation: 1 },
    answer,
  });
}

/**
 * The rejected design: one object per key, written for the claim, for its outcome and for its
 * deletion.
 */
export async function runObjectPerKey(settings: CostSettings): Promise<CostReport> {
  const clock = new ManualClock();
  const store = new BenchStore(clock, settings.storeLatency);
  const act = async (index: number) => {
    const key = `claim-keys/painotuote/key-${index}`;
    const claimed = await store.put(key, createValue(index, undefined), 0);
    const version = claimed.kind === 'accepted' ? claimed.version : 0;
    clock.setTimer(settings.load.runTime, async () => {
      const settled = await store.put(key, createValue(index, settings.body), version);
      const last = settled.kind === 'accepted' ? settled.version : 0;
      clock.setTimer(settings.retention, () => {
        store.delete(key, last);
      });
    });
    return true;
  };
  const load = new ClaimLoad(clock, settings.load, act);
  let before = { ...store.cost };
  let after = before;
  const onMeasure = () => {
    store.isDown = settings.isOutage;
    before = { ...store.cost };
  };
  await load.run(onMeasure, () => {
    after = { ...store.cost };
  });
  return createReport('object per key', settings, load, before, after);
}
