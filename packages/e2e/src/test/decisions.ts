import type { LineLog } from './LineLog.js';

/** A decision log line, read. */
export interface Decision {
  step: string;
  request?: string;
  attempt?: number;
  replica?: string;
  [field: string]: unknown;
}

const LINE = /apricotrill:(\w+) (\{.*\})/;

function parse(line: string): Decision | undefined {
  const match = LINE.exec(line);
  return match === null
    ? undefined
    : { step: match[1]!, ...(JSON.parse(match[2]!) as Record<string, unknown>) };
}

/** The decisions of a daemon so far, of one step. */
export function getDecisions(log: LineLog, step: string): Decision[] {
  return log.lines.map(parse).filter((decision): decision is Decision => decision?.step === step);
}

/** Waits for a decision that has come or will come. */
export async function waitForDecision(
  log: LineLog,
  step: string,
  isIt: (decision: Decision) => boolean = () => true,
): Promise<Decision> {
  const line = await log.waitFor((text) => {
    const decision = parse(text);
    return decision?.step === step && isIt(decision);
  });
  return parse(line)!;
}
