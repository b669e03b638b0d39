import {element, idOf} from './forms.js';

const formatValue = (value) => (value === null ? '(absent)' : JSON.stringify(value));

function table(caption, headings, rows) {
  const head = element('tr', {}, ...headings.map((h) => element('th', {scope: 'col'}, h)));
  const body = rows.map((cells) =>
    element('tr', {}, ...cells.map((cell) => element('td', {}, cell))));
  return element('div', {className: 'scroll'},
    element('table', {},
      element('caption', {}, caption),
      element('thead', {}, head),
      element('tbody', {}, ...body)));
}

/** Creates a table of the changes between two documents. */
export function changes(caption, list) {
  return list.length === 0
    ? element('p', {}, `${caption}: none.`)
    : table(caption, ['Place', 'Before', 'After'],
      list.map((change) => [change.subject, formatValue(change.old), formatValue(change.new)]));
}

/** Returns the field of a JSON pointer or of its nearest ancestor, or null. */
function findField(pointer) {
  for (let p = pointer; p; p = p.slice(0, p.lastIndexOf('/'))) {
    const field = document.getElementById(idOf(p));
    if (field) {
      return field;
    }
  }
  return null;
}

/** Opens the row of a JSON pointer, which creates its fields, and focuses the field. */
function openAndFocus(pointer) {
  const [, list, index] = pointer.split('/');
  const filter = document.getElementById(`filter-${list}`);
  if (filter && filter.value) {
    filter.value = '';
    filter.dispatchEvent(new Event('input'));
  }
  const summary = document.getElementById(idOf(`/${list}/${index}`));
  const details = summary && summary.closest('details');
  if (details && !details.open) {
    // The fields are created in the toggle event, which is dispatched asynchronously.
    details.addEventListener('toggle', () => focus(pointer), {once: true});
    details.open = true;
  } else {
    focus(pointer);
  }
}

function focus(pointer) {
  const field = findField(pointer);
  if (field) {
    field.setAttribute('aria-invalid', 'true');
    if (field.tabIndex < 0) {
      field.tabIndex = -1;
    }
    field.focus();
    field.scrollIntoView({block: 'center'});
  }
}

/** Creates a list of findings with a button each that focuses the field of the finding. */
export function findings(list) {
  const items = list.map((finding) => {
    const link = element('button', {type: 'button'}, finding.pointer || 'document');
    link.addEventListener('click', () => openAndFocus(finding.pointer));
    return element('li', {}, link, ` ${finding.message}`);
  });
  const count = list.length === 1 ? '1 finding' : `${list.length} findings`;
  return element('div', {className: 'error', role: 'alert'},
    element('h2', {}, count), element('ul', {}, ...items));
}

/** Creates a table of the processes with the version that is in effect in each. */
export function status(response) {
  const behind = response.processes.filter((process) => process.state !== 'in_effect').length;
  const caption = response.processes.length === 0
    ? 'No processes are named in the settings.'
    : `Version ${response.version} is in effect in `
      + `${response.processes.length - behind} of ${response.processes.length} processes`;
  return table(caption, ['Process', 'Address', 'State', 'Version'],
    response.processes.map((process) => [
      process.name || '(unknown)',
      process.address,
      process.state.replace('_', ' '),
      process.configuration_version === undefined
        ? process.detail
        : String(process.configuration_version),
    ]));
}
