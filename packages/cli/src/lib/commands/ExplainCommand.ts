import { ClassMatcher } from '@apricotrill/model';
import type {
  ClassRule,
  RequestAttributes,
  RuleEvaluation,
  Rules,
  ServiceClass,
} from '@apricotrill/model';
import { Command, Option } from 'clipanion';
import { createRegisterOption, createRulesOption } from '../sharedOptions.js';
import { ExitCode } from '../ExitCode.js';
import { getRequiredOption } from '../getRequiredOption.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { readConfiguration } from '../readFiles.js';
import type { Report } from '../Report.js';
import { isIntegerFrom } from '../StoreCommand.js';

function formatEvaluation({ index, rule, failed }: RuleEvaluation): string {
  if (failed === undefined) {
    return `classRules[${index}] matches: class ${rule.class}`;
  }
  const wanted = rule[failed as keyof ClassRule];
  return `classRules[${index}] (${rule.class}) does not match: ${failed} is not ${JSON.stringify(wanted)}`;
}

function formatClass(serviceClass: ServiceClass | undefined): string[] {
  if (serviceClass === undefined) {
    return ['no rule matches: the request is refused'];
  }
  const { name, tier, target, deadline, floor, preemptible, repeatable } = serviceClass;
  return [
    `class ${name}: tier ${tier}, target ${target.firstToken} ms, deadline ${deadline} ms, floor ${floor}`,
    `${repeatable ? 'may' : 'may not'} be repeated, ${preemptible ? 'may' : 'may not'} be preempted`,
  ];
}

/** Returns the evaluations of the rules for the request's service; the other rules are left out. */
function getServiceEvaluations(rules: Rules, attributes: RequestAttributes): RuleEvaluation[] {
  return new ClassMatcher(rules).explain(attributes).filter(({ failed }) => failed !== 'service');
}

/** `apricotrill explain` */
export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Edit',
    description: 'show which class a request would get and why',
    details: `
      Evaluates the class rules in order for the request that the options describe. For each rule of
      its service it prints why the rule does not match, up to the first one that matches. No
      network calls are made.

      Exit status: 0 a rule matches, 2 files refused, 8 no rule matches.
    `,
    examples: [
      [
        'An order hold',
        '$0 explain --service jasenportaali --workspace painola --method POST --path /holds',
      ],
      ['A short question', '$0 explain --service kielimalli --workspace painola --max-tokens 200'],
    ],
  });

  register = createRegisterOption();

  rules = createRulesOption();

  service = Option.String('--service', { description: 'The called service.' });

  workspace = Option.String('--workspace', { description: 'The calling workspace.' });

  method = Option.String('--method', { description: 'The HTTP method of a plain call.' });

  calledPath = Option.String('--path', { description: 'The path of a plain call.' });

  maxTokens = Option.String('--max-tokens', {
    validator: isIntegerFrom(1),
    description: 'The max_tokens of a chat request.',
  });

  requestedClass = Option.String('--wish', {
    description: 'The class requested in the x-apricotrill-class header.',
  });

  protected async run(): Promise<Report> {
    const { rules } = await readConfiguration(this.register, this.rules);
    const attributes = this.getRequestAttributes();
    const serviceClass = new ClassMatcher(rules).getClass(attributes);
    const evaluations = getServiceEvaluations(rules, attributes);
    return {
      exitCode: serviceClass === undefined ? ExitCode.NoClass : ExitCode.Done,
      lines: [...evaluations.map(formatEvaluation), ...formatClass(serviceClass)],
      value: { class: serviceClass ?? null, trials: evaluations },
    };
  }

  private getRequestAttributes(): RequestAttributes {
    const { service, workspace, method, calledPath, maxTokens, requestedClass } = this;
    return {
      service: getRequiredOption(service, '--service', 'give the called service'),
      workspace: getRequiredOption(workspace, '--workspace', 'give the calling workspace'),
      method: method?.toUpperCase(),
      path: calledPath,
      maxTokens: maxTokens === undefined ? undefined : Number(maxTokens),
      wishedClass: requestedClass,
    };
  }
}
