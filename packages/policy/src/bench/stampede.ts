import { createRandom, ManualClock } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import { FakeReplica, MEAN_SERVICE } from './FakeReplica.js';
import { StaleChooser } from './StaleChooser.js';
import type { Way } from './StaleChooser.js';

/**
 * Measures what stale load reports do to daemons that all act on the same ones, without any
 * agreement: nine choosers before eight replicas. Run it with
 * `node packages/policy/dist/bench/stampede.js`.
 */

const DAEMONS = 9;

const REPLICAS = 8;

const SLOTS = 16;

/** Demand by capacity. */
const LOAD = 0.85;

const REPORT_INTERVAL: Milliseconds = 1000;

const LAGS: Milliseconds[] = [100, 1000, 4000];

const SPAN: Milliseconds = 300_000;

const SEEDS = [1, 2, 3, 4, 5];

const WAYS: Way[] = ['shortest-reported', 'two-reported', 'two-corrected', 'two-damped', 'policy'];

function startReports(
  clock: ManualClock,
  replicas: FakeReplica[],
  choosers: StaleChooser[],
  lag: Milliseconds,
): void {
  const report = () => {
    const measuredAt = clock.now();
    replicas.forEach(({ load }, index) =>
      clock.setTimer(lag, () => choosers.forEach((each) => each.hear(index, load, measuredAt))),
    );
    clock.setTimer(REPORT_INTERVAL, report);
  };
  report();
}

function startArrivals(clock: ManualClock, choosers: StaleChooser[], random: Random): void {
  const gap = MEAN_SERVICE / (REPLICAS * SLOTS * LOAD);
  const arrive = () => {
    choosers[random.integer(DAEMONS)]!.submit();
    clock.setTimer(-Math.log(1 - random.next()) * gap, arrive);
  };
  arrive();
}

function run(way: Way, lag: Milliseconds, seed: number) {
  const clock = new ManualClock();
  const replicas = Array.from(
    { length: REPLICAS },
    (_, index) => new FakeReplica(clock, createRandom(seed * 100 + index), SLOTS),
  );
  const choosers = Array.from({ length: DAEMONS }, (_, index) => {
    const random = createRandom(seed * 1000 + index);
    const parts = { index, daemons: DAEMONS, slots: SLOTS, way, clock, random, replicas };
    return new StaleChooser(parts);
  });
  startReports(clock, replicas, choosers, lag);
  startArrivals(clock, choosers, createRandom(seed));
  clock.advance(SPAN);
  const waits = replicas.flatMap((replica) => replica.waits).sort((left, right) => left - right);
  return {
    mean: waits.reduce((sum, wait) => sum + wait, 0) / waits.length,
    high: waits[Math.floor(waits.length * 0.99)]!,
    peak: Math.max(...replicas.map((replica) => replica.peak)) / SLOTS,
  };
}

function getMiddle(values: number[]): number {
  return values.sort((left, right) => left - right)[Math.floor(values.length / 2)]!;
}

process.stdout.write('| lag ms | way | mean wait ms | 99th ms | peak load by slots |\n');
process.stdout.write('| --- | --- | --- | --- | --- |\n');
LAGS.forEach((lag) =>
  WAYS.forEach((way) => {
    const results = SEEDS.map((seed) => run(way, lag, seed));
    const mean = getMiddle(results.map((result) => result.mean)).toFixed(0);
    const high = getMiddle(results.map((result) => result.high)).toFixed(0);
    const peak = getMiddle(results.map((result) => result.peak)).toFixed(2);
    process.stdout.write(`| ${lag} | ${way} | ${mean} | ${high} | ${peak} |\n`);
  }),
);
