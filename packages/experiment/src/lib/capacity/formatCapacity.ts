import { formatTable } from '../report/formatTable.js';
import { fitLine, getLineValue } from '../measure/fitLine.js';
import { getWorkedOut } from './CapacityProbe.js';
import type { DaemonCost, RoleCapacity, Slope } from './CapacityProbe.js';
import type { FullSizeReading } from './FullSizeReading.js';
import type { FailureReading } from './probes/readFailures.js';
import { controlBudget, storeBudget, twoYearSize } from './twoYearSize.js';

const PERCENT = 100;

const MEBIBYTE = 2 ** 20;

const THOUSAND = 1000;

/** A number with about three digits that mean something. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) {
    return '-';
  }
  if (Math.abs(value) >= THOUSAND) {
    return Math.round(value).toLocaleString('en-US');
  }
  return value === 0 ? '0' : `${Number(value.toPrecision(3))}`;
}

function sum(roles: RoleCapacity[], getValue: (role: RoleCapacity) => number): number {
  return roles.reduce((total, role) => total + getValue(role), 0);
}

function getDaemonCells(daemon: DaemonCost): string[] {
  return [
    formatNumber(daemon.messagesPerSecond),
    formatNumber(daemon.bytesPerSecond),
    formatNumber(daemon.core * PERCENT),
    formatNumber(daemon.memoryBytes / MEBIBYTE),
  ];
}

function getControlSum(
  title: string,
  roles: RoleCapacity[],
  getCost: (role: RoleCapacity) => DaemonCost,
): string[] {
  const control = roles.filter(({ isControl }) => isControl);
  const add = (field: keyof DaemonCost) => sum(control, (role) => getCost(role)[field]);
  const total = {
    messagesPerSecond: add('messagesPerSecond'),
    bytesPerSecond: add('bytesPerSecond'),
    core: add('core'),
    memoryBytes: add('memoryBytes'),
  };
  return [`**${title}**`, '', '', ...getDaemonCells(total)];
}

function formatDaemonTable(roles: RoleCapacity[]): string {
  const { bytesPerSecond, core, memoryBytes } = controlBudget;
  const budget = [bytesPerSecond, core * PERCENT, memoryBytes / MEBIBYTE].map(formatNumber);
  return formatTable([
    ['role', 'carried by', 'state held', 'messages/s', 'bytes/s', 'core %', 'memory MB'],
    ...roles.map((role) => [
      role.isControl ? role.role : `${role.role} (request path)`,
      role.mechanism,
      role.state,
      ...getDaemonCells(role.daemon),
    ]),
    getControlSum(
      'control, a daemon without a shard or a lease',
      roles,
      ({ daemon, withoutDuty }) => withoutDuty ?? daemon,
    ),
    getControlSum('control, a daemon with both', roles, ({ daemon }) => daemon),
    ['**budget for control**', '', '', '-', ...budget],
  ]);
}

function formatStoreTable(roles: RoleCapacity[]): string {
  const users = roles.filter(
    ({ store }) => store.readsPerSecond + store.writesPerSecond + store.waitingWatches > 0,
  );
  const getCells = (getValue: (field: keyof RoleCapacity['store']) => number) =>
    (['readsPerSecond', 'writesPerSecond', 'waitingWatches'] as const).map((field) =>
      formatNumber(getValue(field)),
    );
  return formatTable([
    ['role', 'reads/s', 'writes/s', 'waiting watches'],
    ...users.map((role) => [role.role, ...getCells((field) => role.store[field])]),
    ['**all**', ...getCells((field) => sum(users, (role) => role.store[field]))],
    ['**budget**', formatNumber(storeBudget.reads), formatNumber(storeBudget.writes), 'as reads'],
  ]);
}

function getSlopeRow(role: string, slope: Slope): string[] {
  const { figure, unit, sizeName, line, atSize } = slope;
  const points = line.points.map(
    ({ size, value }) => `${formatNumber(size)}: ${formatNumber(value)}`,
  );
  return [
    role,
    unit === '' ? figure : `${figure}, ${unit}`,
    sizeName,
    points.join('; '),
    formatNumber(line.slope),
    formatNumber(line.intercept),
    formatNumber(line.residual),
    `${formatNumber(getWorkedOut(slope))} at ${formatNumber(atSize)}`,
  ];
}

function formatSlopes(roles: RoleCapacity[]): string {
  return formatTable([
    ['role', 'figure', 'size', 'measured', 'slope', 'at zero', 'residual (RMS)', 'worked out'],
    ...roles.flatMap(({ role, slopes }) => slopes.map((slope) => getSlopeRow(role, slope))),
  ]);
}

function formatFullSize(reading: FullSizeReading): string {
  return formatTable([
    ['what', 'read off'],
    [
      'resident memory of the bare process with its imports, MB',
      formatNumber(reading.bareMegabytes),
    ],
    ['resident memory with everything loaded, MB', formatNumber(reading.loadedMegabytes)],
    ['resident memory after a minute of steady control, MB', formatNumber(reading.steadyMegabytes)],
    ['heap that the state keeps, MB', formatNumber(reading.heapMegabytes)],
    ['processor time to load it, ms', formatNumber(reading.loadTime)],
    ['part of a core in steady control, %', formatNumber(reading.steadyCore * PERCENT)],
    ['what is loaded', reading.loaded],
  ]);
}

/** One row for each failure: what each size took, and a line through the bytes. */
function formatFailures(readings: FailureReading[], takeover: number): string {
  const rows = [...new Set(readings.map(({ what }) => what))].map((what) => {
    const own = readings.filter((reading) => reading.what === what);
    const list = (get: (reading: FailureReading) => number) =>
      own.map((reading) => `${reading.daemons}: ${formatNumber(get(reading))}`).join('; ');
    const getAtSize = (get: (reading: FailureReading) => number) => {
      const line = fitLine(own.map((reading) => ({ size: reading.daemons, value: get(reading) })));
      return formatNumber(getLineValue(line, twoYearSize.daemons));
    };
    return [
      what,
      list(({ span }) => span / THOUSAND),
      list(({ messages }) => messages),
      list(({ bytes }) => bytes),
      getAtSize(({ bytes }) => bytes),
      getAtSize(({ bytesPerSecond }) => bytesPerSecond),
    ];
  });
  const atSize = formatNumber(twoYearSize.daemons);
  return [
    formatTable([
      [
        'failure',
        'until all agree, s',
        'messages a daemon sends',
        'encoded bytes a daemon sends',
        `bytes at ${atSize} daemons`,
        `bytes/s both ways at ${atSize} daemons`,
      ],
      ...rows,
    ]),
    '',
    `Claims on the shards of a failed owner are taken again ${formatNumber(takeover / THOUSAND)} s after its end, 8 s of which are noticing it.`,
  ].join('\n');
}

/** Everything that the page shows. */
export interface CapacityFindings {
  roles: RoleCapacity[];
  fullSize?: FullSizeReading;
  failures?: FailureReading[];
  /** Until a failed owner's claims go on. */
  takeover?: number;
}

/**
 * The part of the capacity page that is measured, as Markdown.
 *
 * @internal
 */
export function formatCapacity({ roles, fullSize, failures, takeover }: CapacityFindings): string {
  const { daemons, replicas } = twoYearSize;
  const assumptions = roles.flatMap(({ role, assumptions: own }) =>
    own.map((assumption) => `- ${role}: ${assumption}.`),
  );
  const sections = [
    `### One daemon of ${formatNumber(daemons)} before ${formatNumber(replicas)} replicas`,
    formatDaemonTable(roles),
    "### The platform's store, whole system",
    formatStoreTable(roles),
    '### Slopes',
    formatSlopes(roles),
    '### Assumptions',
    assumptions.join('\n'),
  ];
  if (fullSize !== undefined) {
    sections.push('### Control state of full size, really loaded', formatFullSize(fullSize));
  }
  if (failures !== undefined) {
    sections.push('### Failures, measured', formatFailures(failures, takeover ?? Number.NaN));
  }
  return `${sections.join('\n\n')}\n`;
}
