import { Scheduler } from '@apricotrill/policy';
import type { Configuration } from '@apricotrill/model';
import { createRandom, ManualClock } from '@apricotrill/utils';
import { fitLine } from '../../measure/fitLine.js';
import {
  MICROSECONDS_PER_MILLISECOND,
  measureHeap,
  measureLine,
  measureProcessorTime,
} from '../../measure/measureCost.js';
import { getWorkedOut, NO_STORE_COST } from '../CapacityProbe.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { createConfiguration } from '../createConfiguration.js';
import { getReportRate } from '../loadReports.js';
import { readQuestions } from './readQuestions.js';
import { CHANGES_PER_SECOND, MEMBER_CHANGES_PER_SECOND, twoYearSize } from '../twoYearSize.js';

const SIZES = [100, 1_000, 3_000, twoYearSize.replicas];

const REPORTS = 20_000;

const LISTS = 10;

const QUESTIONS = [500, 1_000, 2_000];

/** Headers of TCP and IP: a question, its answer and two acknowledgements. */
const PACKET_BYTES = 4 * 52;

function createSized(replicas: number): Configuration {
  return createConfiguration({ ...twoYearSize, workspaces: 1, replicas });
}

/** A scheduler that knows a fleet and has heard each replica's load once. */
function createScheduler(replicas: number) {
  const clock = new ManualClock(1_000_000);
  const { register } = createSized(replicas);
  const scheduler = new Scheduler({ clock, random: createRandom(1), emit: () => {} });
  const daemons = Array.from({ length: twoYearSize.daemons }, (_, index) => `daemon-${index}`);
  scheduler.handle({ kind: 'daemons', self: 'daemon-0', daemons });
  scheduler.handle({ kind: 'replicas', replicas: register.replicas });
  const report = (index: number) => {
    const { id } = register.replicas[index % register.replicas.length]!;
    const measuredAt = clock.now();
    scheduler.handle({
      kind: 'load-report',
      report: { replica: id, running: index % 16, waiting: 0, measuredAt },
    });
  };
  register.replicas.forEach((_, index) => report(index));
  return { scheduler, register, report, clock, daemons };
}

/** Microseconds for one report. */
async function measureReport(replicas: number): Promise<number> {
  const { report, clock } = createScheduler(replicas);
  const span = await measureProcessorTime(() => {
    for (let index = 0; index < REPORTS; index += 1) {
      clock.advance(1);
      report(index);
    }
  });
  return (span * MICROSECONDS_PER_MILLISECOND) / REPORTS;
}

/** Milliseconds for a list of replicas in which one changed. */
async function measureList(replicas: number): Promise<number> {
  const { scheduler, register } = createScheduler(replicas);
  const span = await measureProcessorTime(() => {
    for (let index = 0; index < LISTS; index += 1) {
      const changed = register.replicas.map((replica, other) =>
        other === index ? { ...replica, slots: 1 } : replica,
      );
      scheduler.handle({ kind: 'replicas', replicas: changed });
    }
  });
  return span / LISTS;
}

/** Milliseconds for one daemon that comes or goes: every share of every replica changes. */
async function measureDaemonChange(replicas: number): Promise<number> {
  const { scheduler, daemons } = createScheduler(replicas);
  const span = await measureProcessorTime(() => {
    for (let index = 0; index < LISTS; index += 1) {
      const others = daemons.filter((_, other) => other !== index + 1);
      scheduler.handle({ kind: 'daemons', self: daemons[0]!, daemons: others });
    }
  });
  scheduler.dispose();
  return span / LISTS;
}

/** What one question for load takes: the slope of so many. */
async function measureQuestionSlopes(): Promise<Record<'time' | 'bytes', Slope>> {
  const readings = await readQuestions(QUESTIONS);
  const create = (figure: string, unit: string, field: 'time' | 'bytes'): Slope => ({
    figure,
    unit,
    sizeName: 'questions in a second',
    line: fitLine(readings.map(({ questions, [field]: value }) => ({ size: questions, value }))),
    atSize: getReportRate().asked,
  });
  return {
    time: create('processor time of questions for load', 'ms', 'time'),
    bytes: create('bytes of questions for load, both ways', 'bytes', 'bytes'),
  };
}

async function measureSlopes(): Promise<
  Record<'report' | 'list' | 'daemonChange' | 'heap', Slope>
> {
  const common = { sizeName: 'replicas', atSize: twoYearSize.replicas };
  return {
    report: {
      ...common,
      figure: 'taking one load report',
      unit: 'µs',
      line: await measureLine(SIZES, measureReport),
    },
    list: {
      ...common,
      figure: 'taking a list of replicas in which one changed',
      unit: 'ms',
      line: await measureLine(SIZES, measureList),
    },
    daemonChange: {
      ...common,
      figure: `one daemon of ${twoYearSize.daemons} comes or goes`,
      unit: 'ms',
      line: await measureLine(SIZES, measureDaemonChange),
    },
    heap: {
      ...common,
      figure: 'heap of a scheduler that has heard from every replica (the register included)',
      unit: 'bytes',
      line: await measureLine(SIZES, (size) => measureHeap(() => createScheduler(size))),
    },
  };
}

/** What knowing the fleet's load costs. */
export const loadViewProbe: CapacityProbe = {
  role: 'load view',
  async measure(): Promise<RoleCapacity> {
    const slopes = await measureSlopes();
    const questions = await measureQuestionSlopes();
    const rate = getReportRate();
    const askedCore = (questions.time.line.slope * rate.asked) / MICROSECONDS_PER_MILLISECOND;
    const reportCore = (getWorkedOut(slopes.report) * rate.all) / MICROSECONDS_PER_MILLISECOND ** 2;
    const daemonCore =
      (getWorkedOut(slopes.daemonChange) * MEMBER_CHANGES_PER_SECOND) /
      MICROSECONDS_PER_MILLISECOND;
    const listCore =
      (getWorkedOut(slopes.list) * CHANGES_PER_SECOND) / MICROSECONDS_PER_MILLISECOND;
    return {
      role: 'load view',
      mechanism: 'policy: ReplicaChooser; router: LoadPoller, x-load on answers',
      state: 'load of each replica, as reported and as sent since',
      isControl: true,
      daemon: {
        messagesPerSecond: 2 * rate.asked,
        bytesPerSecond: rate.asked * (questions.bytes.line.slope + PACKET_BYTES),
        core: askedCore + reportCore + listCore + daemonCore,
        memoryBytes: getWorkedOut(slopes.heap),
      },
      store: NO_STORE_COST,
      slopes: [...Object.values(slopes), ...Object.values(questions)],
      assumptions: [
        `a daemon asks ${rate.asked} replicas a second at most, those it heard from longest ago (router options)`,
        `TCP and IP add ${PACKET_BYTES} bytes to a question and its answer`,
        'reports on answers cost no message of their own',
      ],
    };
  },
};
