/** Characters per prompt block. */
export const BLOCK_CHARACTERS = 1_024;
/** Maximum blocks of a prompt that are hashed; the rest is ignored. */
export const MAX_PREFIX_BLOCKS = 32;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes of a prompt's leading blocks, each covering all text up to it. */
export type PromptPrefix = readonly number[];

/**
 * Hashes the complete leading blocks of a prompt (32-bit FNV-1a, chained).
 * Equal hashes suggest a common prefix but don't prove it.
 * @param prompt - text of the prompt
 */
export function promptPrefix(prompt: string): PromptPrefix {
  const blocks = Math.floor(prompt.length / BLOCK_CHARACTERS);
  const hashedBlocks = Math.min(blocks, MAX_PREFIX_BLOCKS);
  const prefix: number[] = [];
  let hash = FNV_OFFSET;
  let index = 0;
  for (let block = 0; block < hashedBlocks; block++) {
    const end = index + BLOCK_CHARACTERS;
    for (; index < end; index++) {
      hash = Math.imul(hash ^ prompt.charCodeAt(index), FNV_PRIME);
    }
    prefix.push(hash >>> 0);
  }
  return prefix;
}

interface Message {
  readonly role?: unknown;
  readonly content?: unknown;
}

/**
 * Extracts the prompt text of a completion request, whose prefix an engine may
 * have cached.
 * @param body - the parsed request body
 */
export function promptText(body: {
  readonly messages?: unknown;
  readonly prompt?: unknown;
}): string {
  if (typeof body.prompt === 'string') return body.prompt;
  if (!Array.isArray(body.messages)) return '';
  let text = '';
  for (const message of body.messages as (Message | null)[]) {
    if (message === null) continue;
    const {role, content} = message;
    const part =
      typeof content === 'string' ? content : JSON.stringify(content);
    text += `${String(role)}\n${part ?? ''}\n`;
    if (text.length >= BLOCK_CHARACTERS * MAX_PREFIX_BLOCKS) break;
  }
  return text;
}
