import type {ResolvedRequest} from '../../calls/index.js';
import {promptPrefix, promptText} from '../../routing/index.js';
import type {PromptPrefix} from '../../routing/index.js';

const BYTES_PER_TOKEN = 4;
/** Tokens of an answer whose request names no bound. */
const DEFAULT_MAX_TOKENS = 256;

/** How much work a call is. */
export interface RequestWork {
  /** Hashes of the prompt's leading blocks, if it has a prompt. */
  readonly prefix?: PromptPrefix;
  /** Tokens that it may take. */
  readonly cost: number;
}

interface Completion {
  readonly messages?: unknown;
  readonly prompt?: unknown;
  readonly max_tokens?: unknown;
  readonly max_completion_tokens?: unknown;
}

/**
 * Estimates the work of a call; calls to plain services cost one each.
 * @param resolved - what the configuration says of it
 * @param body - its body
 */
export function estimateWork(
  {service}: ResolvedRequest,
  body: Buffer,
): RequestWork {
  if (service.kind !== 'model') return {cost: 1};
  const completion = JSON.parse(body.toString('utf8')) as Completion;
  const {max_tokens, max_completion_tokens} = completion;
  const maxTokens = Number(max_completion_tokens ?? max_tokens);
  const answerTokens = maxTokens > 0 ? maxTokens : DEFAULT_MAX_TOKENS;
  const promptTokens = Math.ceil(body.length / BYTES_PER_TOKEN);
  const prefix = promptPrefix(promptText(completion));
  return {prefix, cost: promptTokens + answerTokens};
}
