from pathlib import Path

import pytest

from camphorchute.contracts.codes import Fate, ResultCode, all_codes, code_info, codes_markdown

DOCS_FOLDER = Path(__file__).resolve().parents[3] / "docs"


def test_codes_document_equals_the_generated_table():
    assert (DOCS_FOLDER / "codes.md").read_text() == codes_markdown()


def test_table_has_one_row_for_every_code():
    assert [info.code for info in all_codes()] == list(ResultCode)


@pytest.mark.parametrize(
    "first, last, fates",
    [
        (200, 299, {Fate.NOT_RUN}),
        (300, 399, {Fate.UNKNOWN}),
        (400, 499, {Fate.MAY_HAVE_RUN, Fate.RAN}),
    ],
)
def test_codes_of_a_number_range_have_the_fate_of_the_range(first, last, fates):
    codes = [code for code in ResultCode if first <= code <= last]
    assert codes
    assert {code_info(code).fate for code in codes} <= fates
