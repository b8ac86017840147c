import { parseLogLine } from '../trace/RequestTrace.js';
import type { LogLine } from '../trace/RequestTrace.js';
import { getRequestOutcomes } from './RequestOutcome.js';
import { getTierSummaries } from './TierSummary.js';

const HELP = { service: 'llm', routePriority: 0, promptTokens: 1_000 };
const SUMMARY = { service: 'llm', routePriority: 2, promptTokens: 17_000 };

function createLine(time: number, event: string, fields: object): LogLine {
  return parseLogLine(`edge-1 ${JSON.stringify({ time, event, ...fields })}`, '')!;
}

function createRequest(id: string, time: number, fields: object): LogLine[] {
  return [
    createLine(time, 'admitted', { id, ...fields }),
    createLine(time + 1, 'sent', { id, replica: 'i-1' }),
  ];
}

describe('getTierSummaries', () => {
  it('counts unanswered requests by how far they came', () => {
    const lines = [
      createLine(0, 'admitted', { id: 'waited', rank: 3, workspacePriority: 1, ...HELP }),
      createLine(900, 'given-up', { id: 'waited' }),
      ...createRequest('queued', 0, { rank: 3, workspacePriority: 1, ...HELP }),
      createLine(900, 'caller-left', { id: 'queued' }),
      ...createRequest('slow', 0, { rank: 3, workspacePriority: 1, ...HELP }),
      createLine(50, 'first-byte', { id: 'slow' }),
      createLine(900, 'given-up', { id: 'slow' }),
      ...createRequest('served', 0, { rank: 3, workspacePriority: 1, ...HELP }),
      createLine(50, 'first-byte', { id: 'served' }),
      createLine(900, 'answered', { id: 'served' }),
      ...createRequest('open', 0, { rank: 3, workspacePriority: 1, ...HELP }),
    ];
    expect(getTierSummaries(getRequestOutcomes(lines))).toMatchObject([
      { requests: 4, notSent: 1, noFirstByte: 1, cut: 1, unansweredTokens: 3_000 },
    ]);
  });

  it('tells apart why a less urgent request went first at the same replica', () => {
    const lines = [
      ...createRequest('help', 0, { rank: 3, workspacePriority: 1, ...HELP }),
      createLine(4_000, 'caller-left', { id: 'help' }),
      ...[2, 3, 5].flatMap((rank) => [
        ...createRequest(`summary-${rank}`, 10, { rank, workspacePriority: 0, ...SUMMARY }),
        createLine(300, 'first-byte', { id: `summary-${rank}` }),
        createLine(900, 'answered', { id: `summary-${rank}` }),
      ]),
      ...createRequest('late', 10, { rank: 5, ...SUMMARY }),
      createLine(6_000, 'first-byte', { id: 'late' }),
      createLine(6_500, 'answered', { id: 'late' }),
    ];
    const [help] = getTierSummaries(getRequestOutcomes(lines));
    expect(help).toMatchObject({
      routePriority: 0,
      workspacePriority: 1,
      lessUrgentTokens: 51_000,
      overtaken: { byLowerRank: 1, byEqualRank: 1, byHigherRank: 1 },
    });
  });

  it('does not count what began elsewhere or after the end as overtaking', () => {
    const lines = [
      ...createRequest('help', 0, { rank: 0, ...HELP }),
      createLine(400, 'caller-left', { id: 'help' }),
      createLine(10, 'admitted', { id: 'other', rank: 1, ...SUMMARY }),
      createLine(11, 'sent', { id: 'other', replica: 'i-2' }),
      createLine(100, 'first-byte', { id: 'other' }),
      createLine(200, 'answered', { id: 'other' }),
      ...createRequest('later', 10, { rank: 1, ...SUMMARY }),
      createLine(500, 'first-byte', { id: 'later' }),
      createLine(700, 'answered', { id: 'later' }),
    ];
    const [help] = getTierSummaries(getRequestOutcomes(lines));
    expect(help!.overtaken).toEqual({ byLowerRank: 0, byEqualRank: 0, byHigherRank: 0 });
    expect(help!.lessUrgentTokens).toBe(34_000);
  });

  it('starts a new window after the given time', () => {
    const lines = [0, 900, 1_100].flatMap((time) => [
      ...createRequest(`r-${time}`, time, { rank: 0, ...HELP }),
      createLine(time + 20, 'answered', { id: `r-${time}` }),
    ]);
    const summaries = getTierSummaries(getRequestOutcomes(lines), 1_000);
    expect(summaries.map(({ from, requests }) => [from, requests])).toEqual([
      [0, 2],
      [1_000, 1],
    ]);
  });
});
