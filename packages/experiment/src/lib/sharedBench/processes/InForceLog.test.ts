import { InForceLog, parseInForce } from './InForceLog.js';

function getLine(event: string, generation: number): string {
  const fields = JSON.stringify({ daemon: 'daemon-1', event, generation });
  return `2026-03-01T10:00:00.250Z apricotrill:configuration ${fields}`;
}

const AT = Date.parse('2026-03-01T10:00:00.250Z');

describe('parseInForce', () => {
  it('reads what came into force and when', () => {
    expect(parseInForce(getLine('in-force', 7))).toEqual({ generation: 7, at: AT });
  });

  it('leaves every other line', () => {
    expect(parseInForce(getLine('heard-of', 7))).toBeUndefined();
    expect(parseInForce('2026-03-01T10:00:00.250Z apricotrill:claim {"a":1}')).toBeUndefined();
    expect(parseInForce('(node:1) ExperimentalWarning: x')).toBeUndefined();
  });
});

describe('InForceLog', () => {
  it('gives a generation that came, that comes, or that a later one took the place of', async () => {
    const log = new InForceLog();
    log.read(getLine('in-force', 2));
    const coming = log.waitFor(4, 60_000);
    log.read(getLine('in-force', 3));
    log.read(getLine('in-force', 5));
    await expect(coming).resolves.toBe(AT);
    await expect(log.waitFor(1, 60_000)).resolves.toBe(AT);
  });

  it('gives up on one that does not come', async () => {
    await expect(new InForceLog().waitFor(1, 0)).resolves.toBeUndefined();
  });
});
